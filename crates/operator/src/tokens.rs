//! Operators' tokens: stored as hashes, compared in constant time.

use std::sync::Arc;

use bytes::Bytes;
use model::error::{ErrorKind, FleetError};
use model::{digest, ids};
use platform::object::Condition;
use platform::{PlatformClient, names};
use subtle::ConstantTimeEq as _;

/// Bytes of randomness in a token.
const TOKEN_BYTES: usize = 32;

model::text_enum! {
    /// What an operator may do; each role includes the ones before it.
    pub enum Role {
        /// Read.
        Viewer = "viewer",
        /// Read and change the configuration.
        Operator = "operator",
        /// All of that, and manage tokens.
        Admin = "admin",
    }
}

model::record! {
    /// One token as it is stored.
    #[derive(Eq)]
    pub struct StoredToken {
        /// Whose it is.
        pub operator: ids::OperatorId,
        /// What it allows.
        pub role: Role,
        /// The hash of the token.
        pub hash: digest::ContentHash,
    }

    /// Every token.
    #[derive(Eq, Default)]
    pub struct TokenTable {
        /// The tokens.
        pub tokens: Vec<StoredToken>,
    }
}

/// Who makes a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// The operator.
    pub operator: ids::OperatorId,
    /// What the operator may do.
    pub role: Role,
}

impl TokenTable {
    /// Finds whose token a text is, looking at every entry whatever it finds.
    ///
    /// # Errors
    /// `Unauthenticated` when it is nobody's.
    pub fn authenticate(&self, token: Option<&str>) -> Result<Caller, FleetError> {
        let refused = || FleetError::new(ErrorKind::Unauthenticated, "a valid token is needed");
        let hash = digest::ContentHash::of(token.ok_or_else(refused)?.as_bytes());
        let mut found = None;
        for stored in &self.tokens {
            let same = stored
                .hash
                .as_str()
                .as_bytes()
                .ct_eq(hash.as_str().as_bytes());
            if bool::from(same) {
                found = Some(Caller {
                    operator: stored.operator.clone(),
                    role: stored.role,
                });
            }
        }
        found.ok_or_else(refused)
    }

    /// Adds a token for an operator and returns its text, which is kept nowhere.
    pub fn issue(&mut self, operator: ids::OperatorId, role: Role) -> Arc<str> {
        let bytes: [u8; TOKEN_BYTES] = rand::random();
        let text = digest::hex_text(&bytes);
        self.adopt(operator, role, &text);
        text.into()
    }

    /// Adds a token whose text is given.
    pub fn adopt(&mut self, operator: ids::OperatorId, role: Role, text: &str) {
        let hash = digest::ContentHash::of(text.as_bytes());
        self.tokens.retain(|stored| stored.operator != operator);
        self.tokens.push(StoredToken {
            operator,
            role,
            hash,
        });
    }

    /// Removes the token of an operator.
    ///
    /// # Errors
    /// `NotFound` when there is none.
    pub fn revoke(&mut self, operator: &ids::OperatorId) -> Result<(), FleetError> {
        let before = self.tokens.len();
        self.tokens.retain(|stored| stored.operator != *operator);
        if self.tokens.len() == before {
            let detail = format!("operator {operator} has no token");
            return Err(FleetError::new(ErrorKind::NotFound, detail));
        }
        Ok(())
    }
}

impl Caller {
    /// Refuses a call that the role does not allow.
    ///
    /// # Errors
    /// `Forbidden` names the role that is needed.
    pub fn require(&self, role: Role) -> Result<(), FleetError> {
        if self.role >= role {
            return Ok(());
        }
        let detail = format!("{} is {}, the call needs {role}", self.operator, self.role);
        Err(FleetError::new(ErrorKind::Forbidden, detail))
    }
}

/// Reads the tokens with the condition of their next write.
///
/// # Errors
/// `PlatformAway` or `Invalid` when they cannot be read.
pub async fn read(platform: &PlatformClient) -> Result<(TokenTable, Condition), FleetError> {
    let Some(object) = platform.get(&names::tokens()).await? else {
        return Ok((TokenTable::default(), Condition::Absent));
    };
    let table = serde_json::from_slice(&object.body)
        .map_err(|why| FleetError::new(ErrorKind::Invalid, format!("the tokens: {why}")))?;
    Ok((table, Condition::Version(object.version)))
}

/// Writes the tokens under a condition.
///
/// # Errors
/// As [`PlatformClient::put_and_settle`].
pub async fn write(
    platform: &PlatformClient,
    table: &TokenTable,
    condition: Condition,
) -> Result<(), FleetError> {
    let body = Bytes::from(serde_json::to_vec(table).unwrap_or_default());
    platform
        .put_and_settle(&names::tokens(), body, condition)
        .await
        .map(|_| ())
}
