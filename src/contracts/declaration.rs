use std::fmt;

use serde::Deserialize;

use crate::contracts::Contract;
use crate::ids::InvalidName;
use crate::prelude::*;
use crate::programs::ProgramLimits;

/// A contract file, as an operator keeps it in version control.
#[value]
pub struct Declaration {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Its contract.
    pub contract: Contract,
}

/// Why a contract file was refused. Nothing of a refused file is published.
#[value]
pub enum DeclarationFault {
    /// Not TOML, or a field that is unknown, missing or of the wrong kind.
    Syntax(String),
    /// A number outside of its range.
    OutOfRange {
        /// The field.
        field: &'static str,
        /// What was given.
        given: i64,
        /// The least allowed.
        least: i64,
        /// The most allowed.
        most: i64,
    },
    /// A bad name.
    Name {
        /// The field.
        field: &'static str,
        /// What was given.
        given: String,
        /// What is wrong with it.
        fault: InvalidName,
    },
    /// An irreversible action that is not among the allowed ones.
    NotAllowed {
        /// The action.
        action: String,
    },
}

impl fmt::Display for DeclarationFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DeclarationFault::Syntax(fault) => f.write_str(fault),
            DeclarationFault::OutOfRange { field, given, least, most } => {
                write!(f, "{field}: {given} is not between {least} and {most}")
            }
            DeclarationFault::Name { field, given, fault } => {
                write!(f, "{field}: {given:?}: {fault}")
            }
            DeclarationFault::NotAllowed { action } => {
                write!(f, "irreversible: {action:?} is not among the actions")
            }
        }
    }
}

impl std::error::Error for DeclarationFault {}

/// The file as written. Numbers are wide and signed, so that a negative one gets a clear refusal.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DeclarationFile {
    workspace: String,
    rate_per_s: i64,
    burst: i64,
    program: ProgramFile,
    #[serde(default)]
    models: Vec<String>,
    #[serde(default)]
    actions: Vec<String>,
    #[serde(default)]
    irreversible: Vec<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ProgramFile {
    budget_tokens: i64,
    max_turns: i64,
}

/// Reads and checks a contract file.
pub fn parse_declaration(text: &str) -> Result<Declaration, DeclarationFault> {
    let file: DeclarationFile =
        toml::from_str(text).map_err(|fault| DeclarationFault::Syntax(fault.to_string()))?;
    file.try_into()
}

impl TryFrom<DeclarationFile> for Declaration {
    type Error = DeclarationFault;

    fn try_from(file: DeclarationFile) -> Result<Declaration, DeclarationFault> {
        const MILLION: i64 = 1_000_000;
        let workspace = WorkspaceId::parse(&file.workspace)
            .map_err(|fault| bad_name("workspace", &file.workspace, fault))?;
        let rate_per_s = in_range("rate_per_s", file.rate_per_s, 1, MILLION)?;
        let burst = in_range("burst", file.burst, 1, MILLION)?;
        let budget = file.program.budget_tokens;
        let budget_tokens = in_range("program.budget_tokens", budget, 0, MILLION * MILLION)?;
        let max_turns = in_range("program.max_turns", file.program.max_turns, 1, 10_000)?;
        let models = file.models.iter().map(|name| model(name)).collect::<Result<_, _>>()?;
        let actions = actions("actions", &file.actions)?;
        let irreversible = self::actions("irreversible", &file.irreversible)?;
        if let Some(action) = irreversible.iter().find(|action| !actions.contains(action)) {
            return Err(DeclarationFault::NotAllowed { action: action.to_string() });
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

fn in_range(
    field: &'static str,
    given: i64,
    least: i64,
    most: i64,
) -> Result<i64, DeclarationFault> {
    match (least..=most).contains(&given) {
        true => Ok(given),
        false => Err(DeclarationFault::OutOfRange { field, given, least, most }),
    }
}

fn bad_name(field: &'static str, given: &str, fault: InvalidName) -> DeclarationFault {
    DeclarationFault::Name { field, given: given.to_string(), fault }
}

fn model(name: &str) -> Result<ModelName, DeclarationFault> {
    ModelName::parse(name).map_err(|fault| bad_name("models", name, fault))
}

/// An action is the names of a service and of what it does there, joined by a slash.
fn actions(field: &'static str, given: &[String]) -> Result<Vec<Arc<str>>, DeclarationFault> {
    let checked = |text: &String| {
        let (service, action) = text.split_once('/').unwrap_or((text, ""));
        ModelName::parse(service)
            .and_then(|_| ModelName::parse(action))
            .map_err(|fault| bad_name(field, text, fault))?;
        Ok(text.as_str().into())
    };
    given.iter().map(checked).collect()
}
