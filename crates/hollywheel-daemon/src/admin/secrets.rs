//! Replacement of secrets without a restart.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;

use super::fault::AdminFault;
use super::state::AdminState;
use crate::events::{EventContext, LogEvent, log_event};
use crate::host::{bearer_value, transport_identity};
use crate::settings::{SecretText, TlsSettings, parse_operators};

/// Holds the certificate, key and authority of the host as PEM texts.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsOrder {
    certificate: String,
    key: String,
    authority: String,
}

/// Replaces secrets: `POST /admin/secrets`. What is left out stays as it is.
#[derive(Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecretsOrder {
    #[serde(default)]
    platform_token: Option<String>,
    #[serde(default)]
    operators: Option<String>,
    #[serde(default)]
    tls: Option<TlsOrder>,
}

impl fmt::Debug for SecretsOrder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SecretsOrder").finish_non_exhaustive()
    }
}

impl AdminState {
    /// Replaces secrets: all of those given, or none if one cannot be used.
    pub(super) fn replace_secrets(&self, order: SecretsOrder) -> Result<(), AdminFault> {
        let bad = |message: String| AdminFault::BadSecret { message };
        let operators = order.operators.as_deref().map(parse_operators).transpose();
        let operators = operators.map_err(|error| bad(format!("operators: {error}")))?;
        let token = order.platform_token.map(SecretText::new);
        let token = token.as_ref().map(bearer_value).transpose();
        let token = token.map_err(|error| bad(error.to_string()))?;
        // The keys are checked by the transport itself, so they go first.
        if let Some(tls) = order.tls {
            self.replace_keys(tls)?;
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

    fn replace_keys(&self, order: TlsOrder) -> Result<(), AdminFault> {
        let bad = |message: String| AdminFault::BadSecret { message };
        let transport = self.transport.as_ref().ok_or_else(|| {
            bad("tls: the host started without a certificate; restart it with one".to_owned())
        })?;
        let identity = transport_identity(&TlsSettings {
            certificate: order.certificate,
            key: SecretText::new(order.key),
            authority: order.authority,
        });
        transport
            .replace_identity(&identity)
            .map_err(|error| bad(format!("tls: {error}")))
    }
}
