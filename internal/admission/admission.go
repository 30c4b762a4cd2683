// Package admission decides, before a request is routed, whether it runs now, waits in a
// bounded fair queue, or is refused. A refusal comes immediately, and a request does not
// wait if it can't finish by its deadline.
//
// Pool decides over the capacity of one pool of upstreams. CapacityShare computes how much
// of that capacity this entry host may use. Quota applies this host's share of a workspace's
// limits. Allocator runs on the host that owns a workspace and divides the workspace's
// limits among all entry hosts. These four are pure: time and randomness are arguments.
// Controller adds locking and waiting around them. Deciding on a request needs no message
// to another host.
package admission
