package node

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/control"
	"github.com/sassafraspost/sassafraspost/internal/journal"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// silentAnnounces is how many announcements an upstream may miss before it counts as
	// silent: one may be late, one lost.
	silentAnnounces = 3.5
	// forgetAfter is when an upstream is forgotten that is not heard any more. It
	// outlasts announcements that a partition held up.
	forgetAfter = 2 * time.Minute
	// closeTimeout bounds the hand-over of the leadership at the end.
	closeTimeout = 2 * time.Second
	// snapshotEntries is how many entries are applied between two snapshots: the log stays
	// small beside the disk.
	snapshotEntries = 1000
	segmentBytes    = 4 << 20
	// recallSuffix names the folder beside the data folder with the list of upstreams.
	recallSuffix = "-upstreams"
	// electionTicks is the least election timeout in ticks: several heartbeats, and many times a round trip between data centres.
	electionTicks = 12
	// hearingSpan is how long a lost disk's replica has to be silent before the host's new
	// one takes its place: well above an election, and well below the time in which a host has
	// to be back in full.
	hearingSpan = 1200 * time.Millisecond
)

// ControlHost is what upstreams and operators ask of a control host.
type ControlHost interface {
	Announce(ctx context.Context, u registry.Upstream) error
	PutConfiguration(ctx context.Context, number uint64, data []byte, author string) (uint64, error)
	Configuration(ctx context.Context) (state.Configuration, error)
}

// controlRole holds what must survive.
type controlRole struct {
	n    *Node
	host *control.Host
	book *control.Book
	api  *http.Server
}

func (n *Node) buildControl() (role, error) {
	set := n.set.Control
	disk := journal.SpaceWaitingFS{FS: journal.OS{}, Log: n.log}
	j, recovered, err := journal.Open(journal.Options{Dir: set.DataFolder, SegmentBytes: segmentBytes, Logger: n.log, FS: disk})
	if err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	n.openPool(string(control.ID(n.set.Host, recovered)))
	transport := control.NewTransport(n.metrics)
	own := n.set.peerAddress(n.set.IP)
	host, err := control.Open(control.Config{
		Name: n.set.Host, Journal: j, Recovered: recovered, Transport: transport, Pool: n.pool,
		Peers: without(n.set.seedPeers(), own), Address: own, Founders: n.founders(own),
		Voters: n.set.voters(), HearingSpan: hearingSpan, ElectionTicks: electionTicks, SnapshotEntries: snapshotEntries,
		Registry: registry.Limits{
			SilenceTimeout: time.Duration(silentAnnounces * float64(n.set.AnnounceInterval)), ForgetTimeout: forgetAfter,
		},
		Recall: control.NewRecall(journal.OS{}, set.DataFolder+recallSuffix),
		Log:    n.log, Metrics: n.metrics,
	})
	if err != nil {
		return nil, err
	}
	n.up = func(s *peer.Session) {
		transport.SessionUp(s)
		if s.Remote().Replica != "" {
			host.Meet(s)
		}
	}
	n.handle = func(s *peer.Session, call uint64, m wire.Message) { host.HandlePeer(s, call, m) }
	listener, err := net.Listen("tcp", set.Listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "listener for upstreams and operators")
	}
	count := func(name string) { metrics.GetOrRegisterCounter("control-api."+name, n.metrics).Inc(1) }
	api := serve(listener, n.platform.ControlAPI(host, set.Listen.String(), count))
	return &controlRole{n: n, host: host, book: host.Book(), api: api}, nil
}

// founders returns who founds the cluster, nobody where there may be one already.
func (n *Node) founders(own string) []string {
	seeds := n.set.seedPeers()
	if n.set.FirstStart && slices.Contains(seeds, own) {
		return seeds
	}
	return nil
}

func without(list []string, one string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == one })
}

func (r *controlRole) run(ctx context.Context) error {
	go watchSeeds(ctx, r.n, r.book)
	return r.host.Run(ctx)
}

// drain hands the leadership over. Upstreams and operators are told to ask elsewhere by
// the listener's end.
func (r *controlRole) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	_ = r.api.Shutdown(ctx)
	if err := r.host.Close(ctx); err != nil {
		r.n.log.Warn("control host did not close well", "error", err.Error())
	}
}

func (r *controlRole) keeper() *quarantine.Keeper { return r.host.Quarantine() }
