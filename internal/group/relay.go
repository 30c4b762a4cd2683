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
	// fanOut is the maximum number of hosts to which one host sends a coordinator's request.
	// These hosts relay it to the others, so the traffic of one host doesn't grow with the
	// group. Two hops reach 12 + 12·12 = 156 hosts.
	fanOut = 12
	// maxDirectRetries is the maximum number of hosts to which a request is sent again
	// directly. It covers the hosts that one or two failed relays should have reached. If more
	// hosts haven't answered, the cause isn't a lost request.
	maxDirectRetries = 2 * fanOut
	// contentLinkShare is the fraction of a link's bandwidth that map content can count on,
	// because reports and answers use the link too.
	contentLinkShare = 0.5
)

// branch is a host to which a request is sent, and the hosts to which that host relays it.
type branch struct {
	head    wire.MapTarget
	relayTo []wire.MapTarget
}

// splitIntoBranches divides the hosts into at most fanOut branches of about equal size.
func splitIntoBranches(targets []wire.MapTarget) []branch {
	n := min(len(targets), fanOut)
	out := make([]branch, 0, n)
	for i := range n {
		chunk := targets[i*len(targets)/n : (i+1)*len(targets)/n]
		out = append(out, branch{head: chunk[0], relayTo: chunk[1:]})
	}
	return out
}

// send sends the coordinator's messages without waiting for sessions; a message to an
// unreachable host is dropped. Requests that are sent again to a few hosts go to them directly,
// since the host that should have relayed them may be down.
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
	request := wire.MapRequest{Group: r.cfg.Group, From: uint32(r.address), Data: data, CoordinatorAddress: r.members[r.address]}
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

// encodedSize returns the number of bytes that a request takes on the wire to the heads of all
// branches, including the overhead of frames and of the protocols below them.
func encodedSize(request wire.MapRequest, branches []branch) int {
	sum := 0
	for _, b := range branches {
		m := request
		m.Incarnation, m.ForwardTo = b.head.Incarnation, b.relayTo
		if data, err := wire.Encode(0, false, &m); err == nil {
			sum += len(data) + peer.FrameOverhead
		}
	}
	return sum
}

// awaitContentTransfer makes the coordinator wait for the time that content of the given size
// takes to reach all targets, plus the time that the ranks take to copy the experts. No
// participant can answer earlier.
func (r *Runner) awaitContentTransfer(size, targets int) {
	r.counters.contentSent.Inc(int64(targets))
	ticks := contentTransferTicks(size, targets, r.cfg.LinkRate)
	if shape := r.cfg.Shape(); shape != nil {
		ticks += int(planner.MaxCopyTime(shape) / tickInterval)
	}
	r.coordinator.AwaitTransfer(ticks)
}

// contentTransferTicks returns how many ticks a message of the given size takes to reach all
// targets. The coordinator's link carries it once per branch, and the link of each relay once
// per host of its branch. rate is the bandwidth of a link in bytes per second; 0 if unknown.
func contentTransferTicks(size, targets int, rate float64) int {
	if rate <= 0 {
		return 0
	}
	branches := min(targets, fanOut)
	relayed := (targets + fanOut - 1) / fanOut
	seconds := float64(size*(branches+relayed)) / (rate * contentLinkShare)
	return int(seconds * float64(time.Second) / float64(tickInterval))
}

// directBranches returns a branch without relaying for each host.
func directBranches(targets []wire.MapTarget) []branch {
	out := make([]branch, 0, len(targets))
	for _, t := range targets {
		out = append(out, branch{head: t})
	}
	return out
}

// sendToBranches sends a request to the heads of the branches. Stage requests are queued in
// order on each session, because a repeated request must not overtake the content. All other
// requests are small and are sent ahead of reports and content, because ranks may be paused
// until they arrive.
func (r *Runner) sendToBranches(request wire.MapRequest, branches []branch, isStage bool) {
	send := (*peer.Session).PostUrgent
	if isStage {
		send = (*peer.Session).Post
	}
	for _, b := range branches {
		m := request
		m.Incarnation, m.ForwardTo = b.head.Incarnation, b.relayTo
		r.deliver(string(b.head.Address), &m, send)
	}
}

// deliver sends a message over the session with a host. If there is no session, it dials the
// host in a goroutine.
func (r *Runner) deliver(address string, m wire.Message, send func(*peer.Session, wire.Message) error) {
	if s := r.cfg.Pool.LiveSession(address); s != nil && send(s, m) == nil {
		return
	}
	go r.dialAndSend(address, m, send)
}

// dialAndSend sends a message as soon as a session with the host is established.
func (r *Runner) dialAndSend(address string, m wire.Message, send func(*peer.Session, wire.Message) error) {
	ctx, cancel := context.WithTimeout(context.Background(), engineTimeout)
	defer cancel()
	if s, err := r.cfg.Pool.Get(ctx, address); err != nil || send(s, m) != nil {
		r.counters.dropped.Inc(1)
	}
}

// sendReply sends the participant's reply to a coordinator. It goes to the coordinator on this
// host, to the coordinator's address if the request was relayed, or else back over the session
// on which the request arrived.
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
		r.deliver(route.coordinator, m, (*peer.Session).PostUrgent)
	case route.session == nil || route.session.PostUrgent(m) != nil:
		r.counters.dropped.Inc(1)
	}
}

// replyRoute tells where the reply to a coordinator goes: to the address coordinator if the
// request names one, otherwise over session.
type replyRoute struct {
	session     *peer.Session
	coordinator string
}
