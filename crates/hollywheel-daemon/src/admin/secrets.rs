//! Replacement of secrets at run time.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;

use super::error::AdminError;
use super::state::AdminState;
use crate::events::{EventContext, LogEvent, log_event};
use crate::host::{bearer_value, transport_identity};
use crate::settings::{SecretText, TlsSettings, parse_operators};

/// New certificate chain, private key and certificate authority of the host, each as PEM text.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsUpdate {
    certificate: String,
    key: String,
    authority: String,
}

/// Body of `POST /admin/secrets`. Secrets that are left out are not changed.
#[derive(Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecretsUpdate {
    #[serde(default)]
    platform_token: Option<String>,
    #[serde(default)]
    operators: Option<String>,
    #[serde(default)]
    tls: Option<TlsUpdate>,
}

impl fmt::Debug for SecretsUpdate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SecretsUpdate").finish_non_exhaustive()
    }
}

impl AdminState {
    /// Replaces the given secrets, or none of them if one is invalid.
    pub(super) fn replace_secrets(&self, update: SecretsUpdate) -> Result<(), AdminError> {
        let bad_secret = |message: String| AdminError::BadSecret { message };
        let operators = update.operators.as_deref().map(parse_operators).transpose();
        let operators = operators.map_err(|error| bad_secret(format!("operators: {error}")))?;
        let token = update.platform_token.map(SecretText::new);
        let token = token.as_ref().map(bearer_value).transpose();
        let token = token.map_err(|error| bad_secret(error.to_string()))?;
        // Only the transport can check the TLS identity, so it is replaced first: if that fails,
        // no other secret has been replaced yet.
        if let Some(tls) = update.tls {
            self.replace_tls_identity(tls)?;
        }
        if let Some(operators) = operators {
            self.operators.store(Arc::new(operators));
        }
        if let Some(token) = token {
            self.platform.set_authorization(Some(token));
        }
        log_event(LogEvent::SecretsReplaced, &EventContext::default(), "");
        Ok(())
    }

    fn replace_tls_identity(&self, update: TlsUpdate) -> Result<(), AdminError> {
        let bad_secret = |message: String| AdminError::BadSecret { message };
        let transport = self.transport.as_ref().ok_or_else(|| {
            bad_secret(
                "tls: the host started without a certificate; restart it with one".to_owned(),
            )
        })?;
        let identity = transport_identity(&TlsSettings {
            certificate: update.certificate,
            key: SecretText::new(update.key),
            authority: update.authority,
        });
        transport
            .replace_identity(&identity)
            .map_err(|error| bad_secret(format!("tls: {error}")))
    }
}
