//! Rendezvous hashing: nodes that know the same members select the same one for a job.

use std::cmp::Reverse;

use model::digest;

/// Ranks members for a job, the one that does it first.
///
/// Nodes that know different members may rank them differently, so the ranking must
/// not be used where nodes have to agree.
///
/// # Examples
/// ```
/// use gooseberrydyke_policy::rendezvous;
/// let members = ["n1", "n2", "n3"];
/// let ranked = rendezvous::rank("job", &members, |member| member);
/// let without_first: Vec<_> = members.iter().filter(|m| *m != ranked[0]).collect();
/// let again = rendezvous::rank("job", &without_first, |member| member);
/// assert_eq!(*again[0], ranked[1]);
/// ```
pub fn rank<'a, T>(job: &str, members: &'a [T], name: impl Fn(&T) -> &str) -> Vec<&'a T> {
    let mut ranked: Vec<_> = members.iter().collect();
    ranked.sort_by_cached_key(|member| Reverse(weight(job, name(member))));
    ranked
}

/// The member that does a job: the one that [`rank`] puts first.
pub fn first<'a, T>(job: &str, members: &'a [T], name: impl Fn(&T) -> &str) -> Option<&'a T> {
    members
        .iter()
        .max_by_key(|member| weight(job, name(member)))
}

fn weight(job: &str, member: &str) -> u64 {
    digest::stable_hash(&[job.as_bytes(), member.as_bytes()])
}
