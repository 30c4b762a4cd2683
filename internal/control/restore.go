package control

import (
	"context"
	"io/fs"
	"log/slog"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// saveInterval is the minimum time between two writes of the caches, so that a hundred announcements
// after a start cause only a few syncs.
const saveInterval = 500 * time.Millisecond

// restore loads what was saved before the start. Departures come after the list of upstreams, which may
// be older.
func (f *fleet) restore() {
	if f.h.cfg.LocalStore == nil {
		return
	}
	f.restoreUpstreams()
	f.restoreDepartures()
	f.restoreSuspicions()
}

// CanUseSaved reports whether what was loaded from the disk with err can be used, and logs what is lost. A host that
// has saved nothing yet has lost nothing. what names the list.
func CanUseSaved(log *slog.Logger, what string, err error) bool {
	var partial *wire.PartialError
	switch {
	case err == nil:
		return true
	case errors.Is(err, fs.ErrNotExist):
		log.Info("nothing was saved before the start", "list", what)
		return false
	case errors.As(err, &partial):
		log.Warn("saved records can't be read and are left out", "list", what, "left_out", partial.Count, "error", partial.First.Error())
		return true
	}
	log.Warn("saved list can't be read and is lost", "list", what, "error", err.Error())
	return false
}

// restoreUpstreams adds the saved upstreams to the registry.
func (f *fleet) restoreUpstreams() {
	all, err := f.h.cfg.LocalStore.LoadUpstreams()
	if !CanUseSaved(f.h.cfg.Log, "upstreams", err) {
		return
	}
	f.registry.Restore(all, f.now())
	f.h.cfg.Log.Info("upstreams of before the start are known", "upstreams", len(all))
}

// restoreDepartures adds the saved departures to the registry. They count more than the saved list
// of upstreams, which may be older.
func (f *fleet) restoreDepartures() {
	all, err := f.h.cfg.LocalStore.LoadDepartures(time.Now())
	if !CanUseSaved(f.h.cfg.Log, "departures", err) {
		return
	}
	f.logDepartures("departure taken over from disk", f.registry.MergeDepartures(all, f.now()), "")
	f.h.cfg.Log.Info("saved departures loaded", "departures", len(all))
}

// restoreSuspicions adds the saved suspicions to the quarantine. The time since they were
// saved does not count towards their age, so requests stay in quarantine that much longer.
func (f *fleet) restoreSuspicions() {
	all, err := f.h.cfg.LocalStore.LoadSuspicions()
	if !CanUseSaved(f.h.cfg.Log, "suspicions", err) {
		return
	}
	f.quarantine.Merge(all)
	f.h.cfg.Log.Info("saved suspicions loaded", "suspicions", len(all))
}

// saveLoop saves the upstreams and suspicions whenever they have changed, until ctx ends.
func (f *fleet) saveLoop(ctx context.Context) {
	if f.h.cfg.LocalStore == nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.saveRequested:
		}
		f.saveUpstreams()
		_ = f.savedAll("suspicions", f.h.cfg.LocalStore.SaveSuspicions(f.quarantine.All()))
		pause.For(ctx, saveInterval)
	}
}

// saveUpstreams saves the list of upstreams that are ready.
func (f *fleet) saveUpstreams() {
	f.mu.Lock()
	all := f.registry.All()
	f.mu.Unlock()
	all = slices.DeleteFunc(all, func(u registry.Upstream) bool { return u.State != registry.Ready })
	_ = f.savedAll("upstreams", f.h.cfg.LocalStore.SaveUpstreams(all))
}

// savedAll logs the error of saving a list. It returns nil if all records are saved that a host can read: the others
// would be lost at the next start in any case.
func (f *fleet) savedAll(what string, err error) error {
	var partial *wire.PartialError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &partial):
		if f.leftOut.Count(what, time.Now()) > 0 {
			f.h.cfg.Log.Warn("records that can't be read are not saved", "list", what, "left_out", partial.Count, "error", partial.First.Error())
		}
		return nil
	}
	f.h.cfg.Log.Warn(what+" can't be saved", "error", err.Error())
	return err
}

// requestSave makes saveLoop save the upstreams and suspicions.
func (f *fleet) requestSave() {
	select {
	case f.saveRequested <- struct{}{}:
	default:
	}
}
