// Package admission decides, before a request is routed, whether and when it may run:
// at once, after a wait in a bounded and fair queue, or not at all. It says so at
// once, and never lets a request wait that can't end in time.
//
// Pool decides over one pool's capacity, Part over this host's part of it, Quota over
// this host's part of a workspace's limits and Divider, at the owner of a workspace,
// over the parts of all hosts. These are pure: time and randomness are arguments.
// Controller is the thin concurrent shell around them. No decision needs a message.
package admission
