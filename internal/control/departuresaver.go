package control

import (
	"context"

	"github.com/pkg/errors"
)

// maxSaveWaiters is how many departures may wait for the disk at a time.
const maxSaveWaiters = 1024

// errSaverBusy is returned if maxSaveWaiters departures wait already.
var errSaverBusy = errors.New("too many departures wait for the disk")

// departureSaver saves departures on this host's disk. Departures that arrive during a write share
// the next one.
type departureSaver struct {
	save    func() error
	waiters chan chan error
}

func newDepartureSaver(save func() error) *departureSaver {
	return &departureSaver{save: save, waiters: make(chan chan error, maxSaveWaiters)}
}

// run writes until ctx ends.
func (d *departureSaver) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-d.waiters:
			d.saveFor(append(d.waiting(), first))
		}
	}
}

// waiting returns those that wait now, without blocking.
func (d *departureSaver) waiting() []chan error {
	var out []chan error
	for {
		select {
		case w := <-d.waiters:
			out = append(out, w)
		default:
			return out
		}
	}
}

func (d *departureSaver) saveFor(waiters []chan error) {
	err := d.save()
	for _, w := range waiters {
		w <- err
	}
}

// begin starts a write of all departures that are known now. The returned channel gets its result.
func (d *departureSaver) begin() <-chan error {
	done := make(chan error, 1)
	select {
	case d.waiters <- done:
	default:
		done <- errSaverBusy
	}
	return done
}

// awaitSave waits for the result of a write until ctx ends.
func awaitSave(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
