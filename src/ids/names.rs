use std::fmt;

use crate::prelude::*;

const MAX_NAME_BYTES: usize = 128;

/// Why a text is no valid name.
#[value]
#[derive(Copy)]
pub enum InvalidName {
    /// No characters at all.
    Empty,
    /// Longer than 128 bytes.
    TooLong,
    /// Something else than letters, digits, `-`, `_`, `.`, `:` (and, in program names, `/`).
    Character(char),
}

impl fmt::Display for InvalidName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidName::Empty => f.write_str("a name is empty"),
            InvalidName::TooLong => write!(f, "a name has more than {MAX_NAME_BYTES} bytes"),
            InvalidName::Character(c) => write!(f, "a name holds the character {c:?}"),
        }
    }
}

impl std::error::Error for InvalidName {}

fn check(text: &str, slash_allowed: bool) -> Result<(), InvalidName> {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    let allowed = |c: char| plain(c) || (slash_allowed && c == '/');
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
            /// Checks and takes a name.
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
    /// A workspace: one customer, under one contract.
    WorkspaceId
}
text_name! {
    /// A VM, as the platform's list names it.
    VmName
}
text_name! {
    /// What an endpoint serves: a model, or a plain service.
    ModelName
}

/// A program of one workspace. `root/child` names a sub-agent, which shares the root's budget.
#[name]
pub struct ProgramId {
    /// The workspace whose key opened the program: names are scoped by it, so that two
    /// workspaces that pick one name never meet.
    pub workspace: WorkspaceId,
    /// The name that the caller gave.
    pub name: Arc<str>,
}

impl ProgramId {
    /// Checks and takes a caller's name for a program.
    pub fn parse(workspace: WorkspaceId, name: &str) -> Result<ProgramId, InvalidName> {
        check(name, true)?;
        Ok(ProgramId { workspace, name: name.into() })
    }

    /// The name of the program that pays: the part before the first `/`.
    pub fn root(&self) -> &str {
        self.name.split('/').next().unwrap_or(&self.name)
    }

    /// The account that this program draws on.
    pub fn account(&self) -> ProgramId {
        ProgramId { workspace: self.workspace.clone(), name: self.root().into() }
    }

    /// The shard of the program: one for a root and all its sub-agents.
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
