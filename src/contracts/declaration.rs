use std::fmt;

use serde::Deserialize;

use crate::contracts::Contract;
use crate::ids::InvalidName;
use crate::prelude::*;
use crate::programs::ProgramLimits;

/// The content of a contract file, which operators keep in version control.
#[value]
pub struct Declaration {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Its contract.
    pub contract: Contract,
}

/// Why a contract file was rejected. No part of a rejected file is published.
#[value]
pub enum DeclarationError {
    /// The file is not TOML, or a field is unknown, missing or of the wrong type.
    Syntax(String),
    /// A number is out of range.
    OutOfRange {
        /// The field.
        field: &'static str,
        /// The value given.
        given: i64,
        /// The minimum.
        min: i64,
        /// The maximum.
        max: i64,
    },
    /// A name is not valid.
    Name {
        /// The field.
        field: &'static str,
        /// The value given.
        given: String,
        /// Why it is not valid.
        fault: InvalidName,
    },
    /// An action listed in `irreversible` is not listed in `actions`.
    UnlistedAction {
        /// The action.
        action: String,
    },
}

impl fmt::Display for DeclarationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DeclarationError::Syntax(fault) => f.write_str(fault),
            DeclarationError::OutOfRange { field, given, min, max } => {
                write!(f, "{field}: {given} is not between {min} and {max}")
            }
            DeclarationError::Name { field, given, fault } => {
                write!(f, "{field}: invalid value {given:?}: {fault}")
            }
            DeclarationError::UnlistedAction { action } => {
                write!(
                    f,
                    "irreversible: {action:?} is not among the actions that the contract allows"
                )
            }
        }
    }
}

impl std::error::Error for DeclarationError {}

/// The fields of the file. Numbers are `i64`, so that negative ones are reported as out of range rather
/// than as a type error.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DeclarationFile {
    workspace: String,
    rate_per_s: i64,
    burst: i64,
    program: ProgramTable,
    #[serde(default)]
    models: Vec<String>,
    #[serde(default)]
    actions: Vec<String>,
    #[serde(default)]
    irreversible: Vec<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ProgramTable {
    budget_tokens: i64,
    max_turns: i64,
}

/// Parses and validates the text of a contract file.
pub fn parse_declaration(text: &str) -> Result<Declaration, DeclarationError> {
    let file: DeclarationFile =
        toml::from_str(text).map_err(|fault| DeclarationError::Syntax(fault.to_string()))?;
    file.try_into()
}

impl TryFrom<DeclarationFile> for Declaration {
    type Error = DeclarationError;

    fn try_from(file: DeclarationFile) -> Result<Declaration, DeclarationError> {
        const MILLION: i64 = 1_000_000;
        let workspace = WorkspaceId::parse(&file.workspace)
            .map_err(|fault| invalid_name("workspace", &file.workspace, fault))?;
        let rate_per_s = in_range("rate_per_s", file.rate_per_s, 1, MILLION)?;
        let burst = in_range("burst", file.burst, 1, MILLION)?;
        let budget = file.program.budget_tokens;
        let budget_tokens = in_range("program.budget_tokens", budget, 0, MILLION * MILLION)?;
        let max_turns = in_range("program.max_turns", file.program.max_turns, 1, 10_000)?;
        let models = file.models.iter().map(|name| parse_model(name)).collect::<Result<_, _>>()?;
        let actions = parse_actions("actions", &file.actions)?;
        let irreversible = parse_actions("irreversible", &file.irreversible)?;
        if let Some(action) = irreversible.iter().find(|action| !actions.contains(action)) {
            return Err(DeclarationError::UnlistedAction { action: action.to_string() });
        }
        let program =
            ProgramLimits { budget_tokens: budget_tokens as u64, max_turns: max_turns as u32 };
        let contract = Contract {
            rate_per_s: rate_per_s as u32,
            burst: burst as u32,
            program,
            models,
            actions,
            irreversible,
        };
        Ok(Declaration { workspace, contract })
    }
}

fn in_range(field: &'static str, given: i64, min: i64, max: i64) -> Result<i64, DeclarationError> {
    match (min..=max).contains(&given) {
        true => Ok(given),
        false => Err(DeclarationError::OutOfRange { field, given, min, max }),
    }
}

fn invalid_name(field: &'static str, given: &str, fault: InvalidName) -> DeclarationError {
    DeclarationError::Name { field, given: given.to_string(), fault }
}

fn parse_model(name: &str) -> Result<ModelName, DeclarationError> {
    ModelName::parse(name).map_err(|fault| invalid_name("models", name, fault))
}

/// Validates actions, each of the form `service/action`.
fn parse_actions(field: &'static str, given: &[String]) -> Result<Vec<Arc<str>>, DeclarationError> {
    let parse = |text: &String| {
        let (service, action) = text.split_once('/').unwrap_or((text, ""));
        ModelName::parse(service)
            .and_then(|_| ModelName::parse(action))
            .map_err(|fault| invalid_name(field, text, fault))?;
        Ok(text.as_str().into())
    };
    given.iter().map(parse).collect()
}
