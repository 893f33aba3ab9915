//! The fleet's certificate authority and the node certificates issued by it.

use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose};
use rustls::RootCertStore;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};
use rustls::server::WebPkiClientVerifier;
use sha2::Digest as _;

/// The server name in every node's certificate.
pub const SERVER_NAME: &str = "node.gooseberrydyke.internal";

/// A failure to create or read keys and certificates.
#[derive(Debug)]
pub struct KeyError(String);

impl std::fmt::Display for KeyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "cannot use the fleet's keys: {}", self.0)
    }
}

impl std::error::Error for KeyError {}

fn key_error(error: impl std::fmt::Display) -> KeyError {
    KeyError(error.to_string())
}

/// The fleet's certificate authority, in the form of the settings.
#[derive(Clone)]
pub struct FleetCa {
    /// The certificate in PEM format.
    pub certificate: Arc<str>,
    /// The private key in PEM format.
    pub key: Arc<str>,
}

impl std::fmt::Debug for FleetCa {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetCa")
    }
}

impl FleetCa {
    /// Generates a new authority.
    ///
    /// # Errors
    /// [`KeyError`] when the system has no source of randomness.
    pub fn generate() -> Result<Self, KeyError> {
        Self::with_key(&KeyPair::generate().map_err(key_error)?)
    }

    /// Derives the authority's key from a shared secret, so that every node with the secret
    /// gets the same key.
    ///
    /// # Errors
    /// [`KeyError`] when the certificate cannot be created.
    pub fn derive(secret: &str) -> Result<Self, KeyError> {
        let seed = sha2::Sha256::digest(format!("gooseberrydyke fleet {secret}"));
        let encoded = [ED25519_PREFIX.as_slice(), &seed].concat();
        let encoded = PrivatePkcs8KeyDer::from(encoded);
        let key = KeyPair::from_pkcs8_der_and_sign_algo(&encoded, &rcgen::PKCS_ED25519)
            .map_err(key_error)?;
        Self::with_key(&key)
    }

    fn with_key(key: &KeyPair) -> Result<Self, KeyError> {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![
            KeyUsagePurpose::KeyCertSign,
            KeyUsagePurpose::DigitalSignature,
        ];
        params
            .distinguished_name
            .push(DnType::CommonName, "gooseberrydyke fleet");
        let certificate = params.self_signed(key).map_err(key_error)?;
        Ok(Self {
            certificate: certificate.pem().into(),
            key: key.serialize_pem().into(),
        })
    }
}

/// The bytes before the 32 bytes of an Ed25519 key in PKCS #8 format (RFC 8410).
const ED25519_PREFIX: [u8; 16] = [
    0x30, 0x2e, 0x02, 0x01, 0x00, 0x30, 0x05, 0x06, 0x03, 0x2b, 0x65, 0x70, 0x04, 0x22, 0x04, 0x20,
];

/// The QUIC configurations with a node's certificate.
#[derive(Clone)]
pub struct NodeKeys {
    /// For connections from other nodes.
    pub server: Arc<QuicServerConfig>,
    /// For connections to other nodes.
    pub client: Arc<QuicClientConfig>,
}

impl NodeKeys {
    /// Issues a certificate for this run of the process.
    ///
    /// # Errors
    /// [`KeyError`] when the authority's certificate or key cannot be read or do not match.
    pub fn issue(ca: &FleetCa) -> Result<Self, KeyError> {
        let ca_key = KeyPair::from_pem(&ca.key).map_err(key_error)?;
        let issuer = Issuer::from_ca_cert_pem(&ca.certificate, ca_key).map_err(key_error)?;
        let key = KeyPair::generate().map_err(key_error)?;
        let params = CertificateParams::new(vec![SERVER_NAME.to_owned()]).map_err(key_error)?;
        let certificate = params.signed_by(&key, &issuer).map_err(key_error)?;
        let chain = vec![certificate.der().clone()];
        let roots = Arc::new(read_roots(&ca.certificate)?);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let private = || PrivateKeyDer::from(PrivatePkcs8KeyDer::from(key.serialize_der()));
        Ok(Self {
            server: server_config(&provider, &roots, chain.clone(), private())?,
            client: client_config(&provider, &roots, chain, private())?,
        })
    }
}

fn read_roots(pem: &str) -> Result<RootCertStore, KeyError> {
    use rustls::pki_types::pem::PemObject as _;
    let mut roots = RootCertStore::empty();
    let certificate = CertificateDer::from_pem_slice(pem.as_bytes()).map_err(key_error)?;
    roots.add(certificate).map_err(key_error)?;
    Ok(roots)
}

type Provider = Arc<rustls::crypto::CryptoProvider>;

fn server_config(
    provider: &Provider,
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<Arc<QuicServerConfig>, KeyError> {
    let verifier =
        WebPkiClientVerifier::builder_with_provider(Arc::clone(roots), Arc::clone(provider))
            .build()
            .map_err(key_error)?;
    let config = rustls::ServerConfig::builder_with_provider(Arc::clone(provider))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(key_error)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .map_err(key_error)?;
    Ok(Arc::new(
        QuicServerConfig::try_from(config).map_err(key_error)?,
    ))
}

fn client_config(
    provider: &Provider,
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<Arc<QuicClientConfig>, KeyError> {
    let config = rustls::ClientConfig::builder_with_provider(Arc::clone(provider))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(key_error)?
        .with_root_certificates(Arc::clone(roots))
        .with_client_auth_cert(chain, key)
        .map_err(key_error)?;
    Ok(Arc::new(
        QuicClientConfig::try_from(config).map_err(key_error)?,
    ))
}
