package group

import (
	"context"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/planner"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// fanOut is how many hosts one host sends a request of a coordinator to; they pass it on
	// to the others. So what a host sends for a change does not grow with the group, and a
	// request reaches 156 hosts in two hops.
	fanOut = 12
	// maxDirectRetries is up to how many hosts are asked again directly: those that one host or two
	// should have passed a request on to. Where more have not answered it is not for want of
	// the request.
	maxDirectRetries = 2 * fanOut
	// contentLinkShare is the part of a link that the content of a change may count on: reports and
	// answers are on their way beside it.
	contentLinkShare = 0.5
)

// branch is a host to send to, and those that it passes the request on to.
type branch struct {
	head    wire.MapTarget
	relayTo []wire.MapTarget
}

// splitIntoBranches spreads the hosts over at most fanOut branches of about one size.
func splitIntoBranches(targets []wire.MapTarget) []branch {
	n := min(len(targets), fanOut)
	out := make([]branch, 0, n)
	for i := range n {
		chunk := targets[i*len(targets)/n : (i+1)*len(targets)/n]
		out = append(out, branch{head: chunk[0], relayTo: chunk[1:]})
	}
	return out
}

// send sends the coordinator's messages. It does not wait for sessions: a message to a
// host that can't be reached is dropped. What is sent again to a few goes to each of them
// directly, since a host that should have passed it on may be the one that is missing.
func (r *Runner) send(envelopes []expertmap.Envelope, isResend bool) {
	var remote []expertmap.Envelope
	for _, e := range envelopes {
		if e.To == r.address {
			r.enqueue(inbound{from: r.address, message: e.Message})
			continue
		}
		remote = append(remote, e)
	}
	for _, m := range expertmap.Multicasts(remote) {
		r.multicast(m, isResend)
	}
}

func (r *Runner) multicast(m expertmap.Multicast, isResend bool) {
	data, err := wire.Marshal(m.Message)
	if err != nil {
		r.counters.dropped.Inc(1)
		return
	}
	request := wire.MapRequest{Group: r.cfg.Group, From: uint32(r.address), Data: data, Home: r.members[r.address]}
	targets := make([]wire.MapTarget, 0, len(m.To))
	for _, to := range m.To {
		targets = append(targets, wire.MapTarget{Address: wire.Address(r.members[to.Address]), Incarnation: to.Incarnation})
	}
	branches := splitIntoBranches(targets)
	if isResend && len(targets) <= maxDirectRetries {
		branches = directBranches(targets)
	}
	if stage := m.Message.Stage; stage != nil && (stage.Delta != nil || len(stage.Maps) > 0) {
		r.awaitContentTransfer(len(data), len(targets))
		isResend = r.ballotStats.isContentResend(r.coordinator.ContentResends())
	}
	r.ballotStats.countSent(len(branches), encodedSize(request, branches), isResend)
	r.sendToBranches(request, branches, m.Message.Stage != nil)
}

// encodedSize returns the bytes of a request to the heads of branches, the layers below included.
func encodedSize(request wire.MapRequest, branches []branch) int {
	sum := 0
	for _, b := range branches {
		m := request
		m.Incarnation, m.Pass = b.head.Incarnation, b.relayTo
		if data, err := wire.Encode(0, false, &m); err == nil {
			sum += len(data) + peer.FrameOverhead
		}
	}
	return sum
}

// awaitContentTransfer lets the coordinator wait for as long as content of that many bytes needs to
// reach all targets, and their ranks to copy the experts: nobody can answer before.
func (r *Runner) awaitContentTransfer(size, targets int) {
	r.counters.contentSent.Inc(int64(targets))
	ticks := contentTransferTicks(size, targets, r.cfg.LinkRate)
	if shape := r.cfg.Shape(); shape != nil {
		ticks += int(planner.CopyTime(shape) / tickInterval)
	}
	r.coordinator.AwaitTransfer(ticks)
}

// contentTransferTicks returns how many ticks a message of that many bytes needs to reach all
// targets: it goes over the coordinator's link once a branch, then over the links of the
// hosts that pass it on. Rate is that of a link in bytes a second, 0 if unknown.
func contentTransferTicks(size, targets int, rate float64) int {
	if rate <= 0 {
		return 0
	}
	branches := min(targets, fanOut)
	relayed := (targets + fanOut - 1) / fanOut
	seconds := float64(size*(branches+relayed)) / (rate * contentLinkShare)
	return int(seconds * float64(time.Second) / float64(tickInterval))
}

// directBranches returns a branch for each host.
func directBranches(targets []wire.MapTarget) []branch {
	out := make([]branch, 0, len(targets))
	for _, t := range targets {
		out = append(out, branch{head: t})
	}
	return out
}

// sendToBranches sends a request to the heads of branches. Requests to stage stay in their order on
// each session: one that asks again must not overtake the content. All others are small and
// go before reports and content, since ranks may hold until they are there.
func (r *Runner) sendToBranches(request wire.MapRequest, branches []branch, isStage bool) {
	send := (*peer.Session).PostFirst
	if isStage {
		send = (*peer.Session).Post
	}
	for _, b := range branches {
		m := request
		m.Incarnation, m.Pass = b.head.Incarnation, b.relayTo
		r.deliver(string(b.head.Address), &m, send)
	}
}

// deliver sends a message over the session with a host, or once there is one.
func (r *Runner) deliver(address string, m wire.Message, send func(*peer.Session, wire.Message) error) {
	if s := r.cfg.Pool.Live(address); s != nil && send(s, m) == nil {
		return
	}
	go r.dialAndSend(address, m, send)
}

// dialAndSend sends a message once there is a session.
func (r *Runner) dialAndSend(address string, m wire.Message, send func(*peer.Session, wire.Message) error) {
	ctx, cancel := context.WithTimeout(context.Background(), engineTimeout)
	defer cancel()
	if s, err := r.cfg.Pool.Get(ctx, address); err != nil || send(s, m) != nil {
		r.counters.dropped.Inc(1)
	}
}

// sendReply answers a coordinator: the one of this host, the session that the request came
// by, or, where others passed it on, the coordinator's host.
func (r *Runner) sendReply(e *expertmap.Envelope) {
	if e.To == r.address {
		r.enqueue(inbound{from: r.address, isReply: true, message: e.Message})
		return
	}
	data, err := wire.Marshal(e.Message)
	if err != nil {
		r.counters.dropped.Inc(1)
		return
	}
	m := &wire.MapReply{Group: r.cfg.Group, From: uint32(r.address), Data: data}
	route := r.replyRoute[e.To]
	switch {
	case route.coordinator != "":
		r.deliver(route.coordinator, m, (*peer.Session).PostFirst)
	case route.session == nil || route.session.PostFirst(m) != nil:
		r.counters.dropped.Inc(1)
	}
}

// replyRoute is where the answer to a coordinator goes.
type replyRoute struct {
	session     *peer.Session
	coordinator string
}
