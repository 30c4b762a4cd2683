package daemon

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/adminapi"
	"github.com/sassafraspost/sassafraspost/internal/auth"
	"github.com/sassafraspost/sassafraspost/internal/control"
	"github.com/sassafraspost/sassafraspost/internal/journal"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// controlRole runs a replica of the cluster state and the administration API.
type controlRole struct {
	host *control.Host
	api  *server
}

// openJournal opens the data folder. It is called before any session begins, because the handshake
// of a session identifies the host's disk.
func (d *Daemon) openJournal() error {
	j, recovered, err := journal.Open(journal.Options{Dir: d.set.Control.DataFolder, Logger: d.log})
	if err != nil {
		return errors.Wrap(err, "data folder")
	}
	d.journal, d.recovered = j, recovered
	d.transport = control.NewTransport(d.metrics)
	if recovered.Truncated {
		d.log.Warn("unfinished last record was cut from the journal")
	}
	return nil
}

func (d *Daemon) buildControl() (role, error) {
	set := d.set.Control
	host, err := control.Open(control.Config{
		Name:            d.set.Host.Name,
		Journal:         d.journal,
		Recovered:       d.recovered,
		Transport:       d.transport,
		Pool:            d.pool,
		Peers:           d.otherPeers(),
		Address:         d.set.Peer.Advertise.String(),
		Tick:            set.Tick,
		SnapshotEntries: uint64(set.SnapshotEntries),
		ClaimRetention:  set.ClaimRetention,
		LocalStore:      control.NewLocalStore(journal.OS{}, set.DataFolder),
		Log:             d.log,
		Metrics:         d.metrics,
	})
	if err != nil {
		return nil, err
	}
	api, err := adminapi.New(adminapi.Config{
		Commands:  host.API(),
		Queries:   host.API(),
		Operators: auth.NewTable(d.set.Operators),
		Metrics:   d.metrics,
	})
	if err != nil {
		return nil, err
	}
	handler := d.guard.Bodies(api, adminapi.MaxBodyBytes)
	srv, err := d.serve("administration-api", set.APIListen.String(), d.machine.Shares().Main, handler, set.APITLS)
	return &controlRole{host: host, api: srv}, err
}

// otherPeers returns the addresses of the other control hosts.
func (d *Daemon) otherPeers() []string {
	var out []string
	for _, a := range d.set.Control.Peers {
		if a != d.set.Peer.Advertise && a != d.set.Peer.Listen {
			out = append(out, a.String())
		}
	}
	return out
}

// onSessionUp sends this host's suspicions, its records of requests during which upstreams crashed,
// to another control host.
func (r *controlRole) onSessionUp(s *peer.Session) {
	if s.Remote().Replica != "" {
		_ = s.Post(&wire.Suspicions{All: r.host.Quarantine().All()})
	}
}

func (r *controlRole) handlePeer(s *peer.Session, call uint64, m wire.Message) bool {
	return r.host.HandlePeer(s, call, m)
}

func (r *controlRole) run(ctx context.Context) error { return r.host.Run(ctx) }

// drain waits for the operators' requests in progress before it stops the replica that serves them.
func (r *controlRole) drain(ctx context.Context) error {
	if err := r.api.shutdown(ctx); err != nil {
		return err
	}
	return r.host.Close(ctx)
}
