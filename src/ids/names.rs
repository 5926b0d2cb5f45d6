use std::fmt;

use crate::prelude::*;

const MAX_NAME_BYTES: usize = 128;

/// Why a text is not a valid name.
#[value]
#[derive(Copy)]
pub enum InvalidName {
    /// The name has no characters.
    Empty,
    /// The name is longer than 128 bytes.
    TooLong,
    /// A character other than ASCII letters, digits, `-`, `_`, `.`, `:` (and `/` in program names).
    Character(char),
}

impl fmt::Display for InvalidName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidName::Empty => f.write_str("a name is empty"),
            InvalidName::TooLong => write!(f, "a name is longer than {MAX_NAME_BYTES} bytes"),
            InvalidName::Character(c) => write!(
                f,
                "a name contains {c:?}; allowed are ASCII letters, digits, '-', '_', '.' and ':' \
                 (in program names also '/')"
            ),
        }
    }
}

impl std::error::Error for InvalidName {}

fn check(text: &str, slash_allowed: bool) -> Result<(), InvalidName> {
    let is_name_char = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    let allowed = |c: char| is_name_char(c) || (slash_allowed && c == '/');
    if text.is_empty() {
        return Err(InvalidName::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(InvalidName::TooLong);
    }
    match text.chars().find(|&c| !allowed(c)) {
        Some(c) => Err(InvalidName::Character(c)),
        None => Ok(()),
    }
}

macro_rules! text_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[name]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks a name and wraps it.
            pub fn parse(text: &str) -> Result<$name, InvalidName> {
                check(text, false)?;
                Ok($name(text.into()))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_name! {
    /// The name of a workspace: one customer with one contract.
    WorkspaceId
}
text_name! {
    /// The name of a VM in the platform's VM list.
    VmName
}
text_name! {
    /// The name of the model or other service that an endpoint serves.
    ModelName
}

/// Identifies a program of a workspace. `root/child` names a sub-agent, which shares the budget of
/// `root`.
#[name]
pub struct ProgramId {
    /// The workspace whose API key opened the program. Names are scoped by workspace, so the same
    /// name in two workspaces identifies two programs.
    pub workspace: WorkspaceId,
    /// The name chosen by the caller.
    pub name: Arc<str>,
}

impl ProgramId {
    /// Checks the name of a program and combines it with its workspace.
    pub fn parse(workspace: WorkspaceId, name: &str) -> Result<ProgramId, InvalidName> {
        check(name, true)?;
        Ok(ProgramId { workspace, name: name.into() })
    }

    /// The name of the root program, whose budget is charged: the part before the first `/`.
    pub fn root(&self) -> &str {
        self.name.split('/').next().unwrap_or(&self.name)
    }

    /// The root program, whose budget this program shares.
    pub fn account(&self) -> ProgramId {
        ProgramId { workspace: self.workspace.clone(), name: self.root().into() }
    }

    /// The shard of the program. A root program and all its sub-agents are in the same shard.
    pub fn shard(&self, shards: u16) -> ShardId {
        let digest = Digest::of(&[self.workspace.as_str().as_bytes(), self.root().as_bytes()]);
        ShardId((digest.prefix() % u64::from(shards.max(1))) as u16)
    }
}

impl fmt::Display for ProgramId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.workspace, self.name)
    }
}
