// Package expertmap is the protocol by which all ranks of a group change their
// expert map, so that in every step all ranks use one and the same map.
//
// The package holds two pure state machines. A [Participant] speaks for the
// engines (ranks) of one host and accepts or refuses; a [Coordinator] runs one
// ballot at a time. Neither reads a clock, does I/O or draws random numbers:
// messages, engine states, ticks and unique numbers come in as arguments.
//
// # Rules
//
//   - All ranks are acceptors, and every round needs all of them. The group
//     runs in lock-step, so a smaller quorum would buy nothing: a rank that
//     can't answer can't finish the step either.
//   - A coordinator takes a ballot that all participants promise. A participant
//     that has promised a ballot refuses every lower one.
//   - A change goes through four rounds: promise, stage (load weights), arm at a
//     step ahead, commit. An engine that reaches its armed step uncommitted
//     holds: it doesn't start the step. Commit is sent only after all have armed.
//   - An abort takes two rounds: first no rank is armed any more, then those that
//     still hold go on. A rank let go while another is armed might begin the step.
//   - A coordinator that finds an open change asks everyone before it acts: if a
//     rank has committed a map, all commit that map; if none has, all abort.
//   - A map's version is the ballot that proposed it, so versions are unique
//     and grow, and no two coordinators give one version to two maps.
//
// # Lost memory
//
// A participant keeps its promise in memory only. Each start draws a new
// incarnation; every message after the promise names the incarnation that gave
// it and is refused by another one. That alone isn't enough: a participant
// could promise ballot 2, restart, promise ballot 1, and let both coordinators
// think that they hold all promises. A coordinator therefore never acts on
// promises alone. Between the promise and any arm, commit or abort lies the
// stage round, which also confirms: when all have answered it, there was one
// moment at which all held the promise together. For two ballots with such
// moments, either each participant went from the lower to the higher ballot,
// or restarted in between; in both cases it refuses every order of the ballot
// whose moment came first.
//
// An order that a dying agent left on its way to the engine is fenced by the
// engine's own state: a promise re-arms an armed engine under the new ballot,
// and an engine takes a commit only for exactly the ballot it is armed with.
//
// An engine that restarts has no map and starts no step. Its commit, if it had
// one, is lost; that is safe, because the step that it may have begun can't
// have ended on any rank unless all ranks had committed. It gets the group's
// map in the next ballot, by the same rule as everyone.
//
// # What blocks
//
//   - A rank that is down or unreachable blocks each ballot, and so holds a
//     group that is armed until it is back. Its absence blocks the lock-step
//     anyway, so no rule could let the group go on with it missing.
//   - An armed group whose coordinator died holds at the armed step until some
//     other coordinator has done promise, stage and commit or abort. No rank may
//     decide alone: it can't tell whether another one has committed and begun
//     the step. The wait is the patience of [Participant.Observe] plus three
//     round trips.
//   - A participant that restarted while armed holds until the next ballot: it
//     can't tell what it had promised.
//   - A rank that stalls while staging blocks nothing but the change: no rank is
//     armed, and the coordinator gives up at its deadline.
package expertmap
