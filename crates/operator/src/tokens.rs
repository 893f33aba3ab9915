//! Operators' tokens and roles. Tokens are stored as hashes and compared in constant time.

use std::sync::Arc;

use bytes::Bytes;
use model::error::{ErrorKind, FleetError};
use model::{digest, ids};
use platform::object::Condition;
use platform::{PlatformClient, names};
use subtle::ConstantTimeEq as _;

/// Number of random bytes in a token.
const TOKEN_BYTES: usize = 32;

model::text_enum! {
    /// The permissions of an operator. Each role includes those before it.
    pub enum Role {
        /// May read.
        Viewer = "viewer",
        /// May also change the configuration.
        Operator = "operator",
        /// May also issue and revoke tokens.
        Admin = "admin",
    }
}

model::record! {
    /// A token as it is stored.
    #[derive(Eq)]
    pub struct StoredToken {
        /// The operator that the token identifies.
        pub operator: ids::OperatorId,
        /// The role that it grants.
        pub role: Role,
        /// The content hash of the token's text.
        pub hash: digest::ContentHash,
    }

    /// All tokens, stored as one object.
    #[derive(Eq, Default)]
    pub struct TokenTable {
        /// At most one token for each operator.
        pub tokens: Vec<StoredToken>,
    }
}

/// The operator on whose behalf an API call is made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Principal {
    /// The operator's id, as named in audit entries.
    pub operator: ids::OperatorId,
    /// The role of the operator's token.
    pub role: Role,
}

impl TokenTable {
    /// Finds the operator to whom a token belongs. It compares all entries even after a
    /// match, so that the time taken does not show which entry matched.
    ///
    /// # Errors
    /// `Unauthenticated` if the token is missing or unknown.
    pub fn authenticate(&self, token: Option<&str>) -> Result<Principal, FleetError> {
        let unauthenticated = || {
            FleetError::new(
                ErrorKind::Unauthenticated,
                "the token is missing or unknown",
            )
        };
        let hash = digest::ContentHash::of(token.ok_or_else(unauthenticated)?.as_bytes());
        let mut found = None;
        for stored in &self.tokens {
            let equal = stored
                .hash
                .as_str()
                .as_bytes()
                .ct_eq(hash.as_str().as_bytes());
            if bool::from(equal) {
                found = Some(Principal {
                    operator: stored.operator.clone(),
                    role: stored.role,
                });
            }
        }
        found.ok_or_else(unauthenticated)
    }

    /// Generates a token for an operator and returns its text, of which only the hash is
    /// stored. It replaces the operator's earlier token.
    pub fn issue(&mut self, operator: ids::OperatorId, role: Role) -> Arc<str> {
        let bytes: [u8; TOKEN_BYTES] = rand::random();
        let text = digest::hex_text(&bytes);
        self.insert(operator, role, &text);
        text.into()
    }

    /// Adds a token with a given text. It replaces the operator's earlier token.
    pub fn insert(&mut self, operator: ids::OperatorId, role: Role, text: &str) {
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
    /// `NotFound` if the operator has none.
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

impl Principal {
    /// Checks that the operator has a role, or one that includes it.
    ///
    /// # Errors
    /// `Forbidden` with the role that the call needs.
    pub fn require(&self, role: Role) -> Result<(), FleetError> {
        if self.role >= role {
            return Ok(());
        }
        let detail = format!(
            "{} has the role {}, the call needs {role}",
            self.operator, self.role
        );
        Err(FleetError::new(ErrorKind::Forbidden, detail))
    }
}

/// Reads the tokens, with the condition for replacing them.
///
/// # Errors
/// `PlatformUnavailable` if they cannot be read, `Invalid` if they cannot be decoded.
pub async fn read(platform: &PlatformClient) -> Result<(TokenTable, Condition), FleetError> {
    let Some(object) = platform.get(&names::tokens()).await? else {
        return Ok((TokenTable::default(), Condition::Absent));
    };
    let table = serde_json::from_slice(&object.body).map_err(|error| {
        FleetError::new(
            ErrorKind::Invalid,
            format!("cannot decode the tokens: {error}"),
        )
    })?;
    Ok((table, Condition::Version(object.version)))
}

/// Writes all tokens under a condition.
///
/// # Errors
/// As [`PlatformClient::put_and_confirm`].
pub async fn write(
    platform: &PlatformClient,
    table: &TokenTable,
    condition: Condition,
) -> Result<(), FleetError> {
    let body = Bytes::from(serde_json::to_vec(table).unwrap_or_default());
    platform
        .put_and_confirm(&names::tokens(), body, condition)
        .await
        .map(|_| ())
}
