package node

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/backpressure"
	"github.com/sassafraspost/sassafraspost/internal/control"
	"github.com/sassafraspost/sassafraspost/internal/journal"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// silenceIntervals is the number of announcement intervals after which an upstream that has
	// not announced itself counts as silent. One announcement may be late and one lost.
	silenceIntervals = 3.5
	// forgetTimeout is how long after its last announcement an upstream is removed from the list.
	// It is longer than a network partition can delay an announcement.
	forgetTimeout = 2 * time.Minute
	// closeTimeout bounds the leadership transfer at shutdown.
	closeTimeout = 2 * time.Second
	// snapshotEntries is how many log entries are applied between two snapshots. It keeps the log
	// small compared with the disk.
	snapshotEntries = 1000
	segmentBytes    = 4 << 20
	// electionTicks is the minimum election timeout in ticks. It covers several heartbeats and many
	// round trips between data centres.
	electionTicks = 12
	// replicaSilenceLimit is how long the replica on a lost disk must be silent before the host's
	// new replica replaces it. It is well above the duration of an election and well below the
	// time within which a host must have fully recovered.
	replicaSilenceLimit = 1200 * time.Millisecond
)

// ControlHost is the part of a control host that upstreams and operators use.
type ControlHost interface {
	Announce(ctx context.Context, u registry.Upstream) error
	PutConfiguration(ctx context.Context, number uint64, data []byte, author string) (uint64, error)
	Configuration(ctx context.Context) (state.Configuration, error)
	SetEvacuation(ctx context.Context, dataCentre string, isEvacuated bool, author string) (state.EvacuationResult, error)
}

// controlRole runs a replica of the state that must survive the loss of hosts.
type controlRole struct {
	n            *Node
	host         *control.Host
	controlHosts *control.AddressBook
	api          *http.Server
}

func (n *Node) buildControl() (role, error) {
	set := n.settings.Control
	disk := journal.SpaceWaitingFS{FS: journal.OS{}, Log: n.log}
	j, recovered, err := journal.Open(journal.Options{Dir: set.DataFolder, SegmentBytes: segmentBytes, Logger: n.log, FS: disk})
	if err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	n.openPool(string(control.ID(n.settings.Host, recovered)))
	transport := control.NewTransport(n.metrics)
	ownAddress := n.settings.peerAddress(n.settings.IP)
	saved := control.NewLocalStore(journal.OS{}, set.DataFolder)
	initialVoters := n.initialVoters(ownAddress, saved)
	host, err := control.Open(control.Config{
		Name: n.settings.Host, DataCentre: n.settings.DataCentre, Journal: j, Recovered: recovered, Transport: transport, Pool: n.pool,
		Peers: excluding(n.settings.seedPeers(), ownAddress), Address: ownAddress, InitialVoters: initialVoters, HasLostDisk: len(initialVoters) == 0,
		Voters: n.settings.voters(), ReplicaSilenceTimeout: replicaSilenceLimit, ElectionTicks: electionTicks, SnapshotEntries: snapshotEntries,
		Registry: registry.Limits{
			SilenceTimeout: time.Duration(silenceIntervals * float64(n.settings.AnnounceInterval)), ForgetTimeout: forgetTimeout,
			ForwardsKnownColdTimes: n.settings.ColdBound != backpressure.ColdBound{},
		},
		RetryBudget: n.settings.RetryBudget,
		DataCentres: slices.Sorted(maps.Keys(n.settings.DataCentreRegions)),
		LocalStore:  saved,
		Log:         n.log, Metrics: n.metrics,
	})
	if err != nil {
		return nil, err
	}
	n.onSessionUp = func(s *peer.Session) {
		transport.SessionUp(s)
		if s.Remote().Replica != "" {
			host.ControlHostConnected(s)
		}
	}
	n.handleMessage = func(s *peer.Session, call uint64, m wire.Message) { host.HandlePeer(s, call, m) }
	count := func(name string) { metrics.GetOrRegisterCounter("control-api."+name, n.metrics).Inc(1) }
	handler := n.inbound.Bodies(n.platform.ControlAPI(host, set.Listen.String(), count, n.log), n.platform.MaxControlBody)
	api, err := n.serve("control", set.Listen.String(), n.shares().Control, handler)
	if err != nil {
		return nil, errors.Wrap(err, "listener for upstreams and operators")
	}
	return &controlRole{n: n, host: host, controlHosts: host.AddressBook(), api: api}, nil
}

// initialVoters returns the addresses of the hosts that bootstrap the cluster together. It returns
// none if this host is not one of them, or if its disk was not there at the first start: another disk of
// this host may have taken part then. A host that restarts before the cluster exists takes part with the
// seeds of its first start.
func (n *Node) initialVoters(ownAddress string, saved *control.LocalStore) []string {
	seeds := n.settings.seedPeers()
	if !n.settings.FirstStart {
		var err error
		if seeds, err = saved.LoadFirstSeeds(); !control.CanUseSaved(n.log, "first seeds", err) {
			return nil
		}
	} else if err := saved.SaveFirstSeeds(seeds); err != nil {
		n.log.Warn("a restart before the first leader will leave this host out", "error", err.Error())
	}
	if !slices.Contains(seeds, ownAddress) {
		return nil
	}
	return seeds
}

func excluding(list []string, excluded string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == excluded })
}

func (r *controlRole) run(ctx context.Context) error {
	go watchSeeds(ctx, r.n, r.controlHosts)
	return r.host.Run(ctx)
}

// drain closes the API listener, so that upstreams and operators turn to another control host, and
// then transfers the leadership.
func (r *controlRole) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	_ = r.api.Shutdown(ctx)
	if err := r.host.Close(ctx); err != nil {
		r.n.log.Warn("control host did not shut down cleanly", "error", err.Error())
	}
}

func (r *controlRole) keeper() *quarantine.Keeper { return r.host.Quarantine() }

func (r *controlRole) notices() []backpressure.Notice { return r.host.Notices() }
