// Package expertmap implements the protocol by which all ranks of a group change
// their expert map, which assigns experts to ranks. In every step, which is one
// forward pass of the whole group, all ranks have to use the same map.
//
// The protocol resembles Paxos and two-phase commit. The package consists of two
// state machines. A [Participant] acts for the engines (ranks) of one host and
// accepts or refuses requests; a [Coordinator] runs one ballot at a time. Neither
// reads a clock, does I/O or draws random numbers: messages, engine states, ticks
// and unique numbers are passed in as arguments.
//
// # Rules
//
//   - All ranks are acceptors, and every round needs all of them. The group
//     runs in lockstep, so a smaller quorum would gain nothing: a rank that
//     can't answer can't finish the step either.
//   - A coordinator runs a ballot that all participants have promised. A participant
//     that has promised a ballot refuses every lower one.
//   - A change takes four rounds: promise, stage (load the weights), arm, commit.
//     An armed engine switches to the new map at a given coming step. If it
//     reaches that step uncommitted, it pauses: it doesn't start the step. Commit
//     is sent only after all engines are armed.
//   - An abort takes two rounds: abort disarms all ranks, then release resumes
//     those that are still paused. If a rank resumed while another one was armed,
//     the two might start the step with different maps.
//   - A coordinator that finds an unfinished change collects the state of all
//     ranks before it acts: if any rank has committed a map, all ranks commit that
//     map; if none has, all abort.
//   - A map's version is the ballot that proposed it. Versions are therefore unique
//     and increase, and no two coordinators give the same version to two maps.
//
// # Restarts
//
// A participant keeps its promise in memory only. Each start draws a new
// incarnation; every message after the promise names the incarnation that gave
// it and is refused by any other one. That alone isn't enough: a participant
// could promise ballot 2, restart, promise ballot 1, and let both coordinators
// believe that they hold all promises. A coordinator therefore never acts on
// promises alone. Between the promise and any arm, commit or abort lies the
// stage round, which also confirms the promises: once all participants have
// answered it, there was a moment at which all of them held the promise at the
// same time. For two ballots with such moments, each participant either went from
// the lower to the higher ballot or restarted in between. In both cases it refuses
// every request of the ballot whose moment came first.
//
// An order that a dying agent left in transit to its engine is fenced off by the
// engine's own state: a promise arms an armed engine again under the new ballot,
// and an engine accepts a commit only for exactly the ballot that it is armed with.
//
// An engine that restarts has no map and starts no step. If it had committed a
// change, that commit is lost. This is safe, because the step that the engine may
// have started can't have finished on any rank unless all ranks had committed. The
// engine gets the group's map in the next ballot, by the same rules as all others.
//
// # What blocks the group
//
//   - A rank that is down or unreachable blocks every ballot, and an armed group
//     therefore stays paused until the rank is back. Without it, the lockstep is
//     blocked anyway, so no rule could let the group continue.
//   - An armed group whose coordinator died stays paused at the armed step until
//     another coordinator has completed promise, stage and commit or abort. No rank
//     may decide alone: it can't know whether another rank has committed and started
//     the step. The wait is the recovery delay of [Participant.RecoveryDue] plus
//     three round trips.
//   - If a participant restarts while its ranks are armed, they stay paused until
//     the next ballot: the participant doesn't know what it had promised.
//   - A rank that stalls while it loads weights blocks nothing but the change: no
//     rank is armed, and the coordinator gives up at its deadline.
package expertmap
