use std::collections::HashMap;
use std::fmt::{self, Debug};
use std::hash::Hash;

use crate::checks::Violation;
use crate::load::{LoadPhases, LoadProgram};
use crate::program::SentRequest;

/// Minimum number of programs of a rank or workspace for the check that it is served at all.
const MIN_PROGRAMS: usize = 20;

/// Checks the guarantees for programs under load control. That a refused request never runs is
/// checked as for all requests.
///
/// Which gateway owns a program can't be observed. Therefore, a gateway counts as calm only while no
/// gateway, link, endpoint or store has had a fault for several seconds.
pub struct LoadChecks<'a> {
    programs: &'a [LoadProgram],
    phases: LoadPhases,
}

impl<'a> LoadChecks<'a> {
    /// Checks the programs under load control of one run.
    pub fn open(programs: &'a [LoadProgram], phases: LoadPhases) -> LoadChecks<'a> {
        LoadChecks { programs, phases }
    }

    /// All violations.
    pub fn violations(&self) -> Vec<Violation> {
        let refused_later = self.calm_later_requests().filter(|sent| sent.answer.is_refused());
        let refused_later = refused_later.map(|sent| Violation {
            guarantee: match sent.kind.is_turn() {
                true => "a program that was served is not refused later",
                false => "tool calls of a program that was served are not refused",
            },
            seen: format!("{} {:?}", sent.request, sent.answer.status),
        });
        let not_served = self.after_surge().filter(|program| !program.is_admitted());
        let not_served = not_served.map(|program| Violation {
            guarantee: "new programs are served after a surge",
            seen: format!("{:?}", seen_of(program)),
        });
        let starved_ranks = self.starved(|program| program.class);
        let starved_workspaces = self.starved(|program| program.class.workspace);
        let starved = starved_ranks.into_iter().chain(starved_workspaces);
        refused_later.chain(not_served).chain(starved).collect()
    }

    /// The groups with the same `key` of which no program is admitted while others are.
    fn starved<K: Debug + Eq + Hash>(&self, key: fn(&LoadProgram) -> K) -> Vec<Violation> {
        let mut groups: HashMap<K, Vec<&LoadProgram>> = HashMap::new();
        for program in self.programs {
            groups.entry(key(program)).or_default().push(program);
        }
        let admitted = |programs: &[&LoadProgram]| programs.iter().any(|p| p.is_admitted());
        let others_admitted = groups.values().any(|programs| admitted(programs));
        let starved = groups.into_iter().filter(|(_, programs)| {
            others_admitted && programs.len() >= MIN_PROGRAMS && !admitted(programs)
        });
        let violation = |(group, programs): (K, Vec<_>)| Violation {
            guarantee: "no rank and no workspace gets nothing while others are served",
            seen: format!("{group:?}: none of {} programs", programs.len()),
        };
        starved.map(violation).collect()
    }

    fn calm_later_requests(&self) -> impl Iterator<Item = &'a SentRequest> {
        let calm_from = self.phases.calm_from;
        let later = self.programs.iter().flat_map(LoadProgram::later_requests);
        later.filter(move |sent| sent.sent >= calm_from)
    }

    fn after_surge(&self) -> impl Iterator<Item = &'a LoadProgram> {
        let recovered_at = self.phases.recovered_at;
        self.programs.iter().filter(move |program| program.begun >= recovered_at)
    }
}

fn seen_of(program: &LoadProgram) -> Vec<(&str, Option<u16>)> {
    let requests = program.requests.iter();
    requests.map(|sent| (sent.request.as_str(), sent.answer.status)).collect()
}

/// The numbers of programs and of requests that the checks apply to.
impl fmt::Display for LoadChecks<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = |is: fn(&LoadProgram) -> bool| self.programs.iter().filter(|p| is(p)).count();
        write!(
            f,
            "{} programs under load control, {} admitted, {} refused; in the calm part {} later \
             requests, {} new programs after the surge",
            self.programs.len(),
            count(LoadProgram::is_admitted),
            count(LoadProgram::is_refused),
            self.calm_later_requests().count(),
            self.after_surge().count(),
        )
    }
}
