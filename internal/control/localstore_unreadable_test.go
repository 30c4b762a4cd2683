package control

import (
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/journal"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// invalidText is not UTF-8. CBOR decoders refuse it.
const invalidText = "i-95\xff\xfe"

// saveUnchecked writes a file of a store as builds without a check of texts do.
func saveUnchecked(t require.TestingT, dir, name string, v any) {
	body, err := cbor.Marshal(v)
	require.NoError(t, err)
	writeWithChecksum(t, dir, name, body)
}

func writeWithChecksum(t require.TestingT, dir, name string, body []byte) {
	data := append(binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(body)), body...)
	require.NoError(t, os.WriteFile(filepath.Join(dir, name), data, 0o600))
}

// badAmongGood returns departures of which the middle one has an invalid ID.
func badAmongGood() []registry.Departure {
	return []registry.Departure{{ID: "a", State: registry.Gone}, {ID: invalidText, State: registry.Gone}, {ID: "b", State: registry.Draining}}
}

// Guards against a saved record that can't be decoded and costs the records beside it, among them acknowledged
// departures: upstreams that have left would get requests again.
func TestRecordThatCanNotBeReadCostsOnlyItself(t *testing.T) {
	dir := t.TempDir()
	r := NewLocalStore(journal.OS{}, dir)
	requireOneLeftOut := func(err error) {
		t.Helper()
		var partial *wire.PartialError
		require.True(t, errors.As(err, &partial), "%v", err)
		require.Equal(t, 1, partial.Count)
		require.NotContains(t, err.Error(), "\xff")
	}
	now := time.Now()
	saveUnchecked(t, dir, departuresFile, &wire.SavedDepartures{All: badAmongGood(), SavedAt: now.Add(-time.Second).UnixMilli()})
	departures, err := r.LoadDepartures(now)
	requireOneLeftOut(err)
	require.Equal(t, []registry.Departure{{ID: "a", State: registry.Gone, AgeMS: 1000}, {ID: "b", State: registry.Draining, AgeMS: 1000}}, departures)

	saveUnchecked(t, dir, upstreamsFile, &wire.Upstreams{All: []registry.Upstream{{ID: "a", Service: invalidText}, {ID: "b"}}})
	upstreams, err := r.LoadUpstreams()
	requireOneLeftOut(err)
	require.Equal(t, []registry.Upstream{{ID: "b"}}, upstreams)

	saveUnchecked(t, dir, suspicionsFile, &wire.Suspicions{All: []quarantine.Suspicion{{Request: "r"}, {Request: invalidText}}})
	suspicions, err := r.LoadSuspicions()
	requireOneLeftOut(err)
	require.Equal(t, []quarantine.Suspicion{{Request: "r"}}, suspicions)
}

// Guards against a list of initial voters that is loaded in part: hosts with different lists could form two
// clusters.
func TestFirstSeedsAreLoadedWholeOrNotAtAll(t *testing.T) {
	dir := t.TempDir()
	r := NewLocalStore(journal.OS{}, dir)
	saveUnchecked(t, dir, firstSeedsFile, []string{"10.0.0.1:1", invalidText})
	seeds, err := r.LoadFirstSeeds()
	require.Error(t, err)
	require.Empty(t, seeds)
	require.Error(t, r.SaveFirstSeeds([]string{"10.0.0.1:1", invalidText}))
}

// Guards against a store that writes what it can't read: the rest of the list is saved, and the caller is told.
func TestRecordThatCanNotBeReadIsNotSaved(t *testing.T) {
	r := NewLocalStore(journal.OS{}, t.TempDir())
	require.True(t, wire.IsPartial(r.SaveDepartures(badAmongGood(), time.Now())))
	departures, err := r.LoadDepartures(time.Now())
	require.NoError(t, err)
	require.Len(t, departures, 2)
	require.True(t, wire.IsPartial(r.SaveUpstreams([]registry.Upstream{{ID: invalidText}, {ID: "b"}})))
	upstreams, err := r.LoadUpstreams()
	require.NoError(t, err)
	require.Equal(t, []registry.Upstream{{ID: "b"}}, upstreams)
	require.True(t, wire.IsPartial(r.SaveSuspicions([]quarantine.Suspicion{{Workspace: invalidText}, {Request: "r"}})))
	suspicions, err := r.LoadSuspicions()
	require.NoError(t, err)
	require.Equal(t, []quarantine.Suspicion{{Request: "r"}}, suspicions)
}

// Whatever is saved, the store loads it again without the records that have invalid text, and a file of a build
// that did not check them gives the same.
func TestSavedDeparturesAreLoadedWhateverTheirText(t *testing.T) {
	dir := t.TempDir()
	r := NewLocalStore(journal.OS{}, dir)
	rapid.Check(t, func(rt *rapid.T) {
		var all, valid []registry.Departure
		for _, id := range rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 0, 4)).Draw(rt, "ids") {
			d := registry.Departure{ID: string(id), State: registry.Gone, StartedAt: rapid.Int64().Draw(rt, "start")}
			all = append(all, d)
			if strings.ToValidUTF8(d.ID, "") == d.ID {
				valid = append(valid, d)
			}
		}
		now := time.Now()
		err := r.SaveDepartures(all, now)
		require.Equal(rt, len(valid) < len(all), wire.IsPartial(err))
		loaded, err := r.LoadDepartures(now)
		require.NoError(rt, err)
		require.ElementsMatch(rt, valid, loaded)
		saveUnchecked(rt, dir, departuresFile, &wire.SavedDepartures{All: all, SavedAt: now.UnixMilli()})
		loaded, err = r.LoadDepartures(now)
		require.Equal(rt, len(valid) < len(all), wire.IsPartial(err))
		require.ElementsMatch(rt, valid, loaded)
	})
}

// Guards against a file that can't be read and that the next save overwrites, so that nobody can tell later what
// it was.
func TestFileThatCanNotBeReadIsKeptAside(t *testing.T) {
	for name, damage := range map[string]func(dir string){
		"wrong checksum": func(dir string) {
			require.NoError(t, os.WriteFile(filepath.Join(dir, departuresFile), []byte("damaged"), 0o600))
		},
		"not CBOR":     func(dir string) { writeWithChecksum(t, dir, departuresFile, []byte("\xffnot CBOR")) },
		"another type": func(dir string) { saveUnchecked(t, dir, departuresFile, map[int]string{1: "x"}) },
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			r := NewLocalStore(journal.OS{}, dir)
			for range 2 {
				damage(dir)
				damaged, err := os.ReadFile(filepath.Join(dir, departuresFile))
				require.NoError(t, err)
				_, err = r.LoadDepartures(time.Now())
				require.Error(t, err)
				require.False(t, wire.IsPartial(err))
				require.NoError(t, r.SaveDepartures([]registry.Departure{{ID: "a", State: registry.Gone}}, time.Now()))
				kept, err := os.ReadFile(filepath.Join(dir, departuresFile+unreadableSuffix))
				require.NoError(t, err)
				require.Equal(t, damaged, kept)
				files, err := os.ReadDir(dir)
				require.NoError(t, err)
				require.Len(t, files, 2, "one file is kept aside at most")
			}
		})
	}
}

// Guards against a control host with such a disk that forgets acknowledged departures, or tells nobody of what it
// lost: after a restart of all hosts there must be a leader again, and the other departures must be known. A
// first start is no loss.
func TestClusterStartsOnDisksWithRecordsThatCanNotBeRead(t *testing.T) {
	log := &lockedBuffer{}
	c := newTestCluster(t, 3, 0, log)
	require.NotContains(t, log.String(), "level=WARN msg=\"saved", "a first start")
	for _, h := range c.hosts {
		h.kill()
	}
	for _, h := range c.hosts {
		now := time.Now().UnixMilli()
		saveUnchecked(t, h.dir, departuresFile, &wire.SavedDepartures{All: badAmongGood(), SavedAt: now})
		saveUnchecked(t, h.dir, upstreamsFile, &wire.Upstreams{All: []registry.Upstream{{ID: "c", Service: "s", State: registry.Ready}, {ID: invalidText, State: registry.Ready}}})
		saveUnchecked(t, h.dir, suspicionsFile, &wire.Suspicions{All: []quarantine.Suspicion{{Request: invalidText}}})
	}
	for _, h := range c.hosts {
		h.start()
	}
	c.awaitVoters(c.hosts...)
	require.NoError(t, c.propose(c.leader()))
	for _, h := range c.hosts {
		f := h.host.fleet
		f.mu.Lock()
		departures := f.registry.Departures(f.now())
		f.mu.Unlock()
		var ids []string
		for _, d := range departures {
			ids = append(ids, d.ID)
		}
		require.Equal(t, []string{"a", "b"}, ids, h.name)
		require.Contains(t, upstreamIDs(h), "c")
	}
	require.Equal(t, 9, strings.Count(log.String(), "level=WARN msg=\"saved records can't be read and are left out\""), log.String())
	require.NotContains(t, log.String(), "\xff")
	// What is saved now has no such record any more.
	c.hosts[0].host.fleet.saveUpstreams()
	require.NoError(t, c.hosts[0].host.fleet.saveDepartures())
	store := NewLocalStore(journal.OS{}, c.hosts[0].dir)
	_, err := store.LoadUpstreams()
	require.NoError(t, err)
	_, err = store.LoadDepartures(time.Now())
	require.NoError(t, err)
}

// upstreamIDs returns the IDs of all upstreams that a host knows.
func upstreamIDs(h *clusterHost) []string {
	f := h.host.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for _, u := range f.registry.All() {
		ids = append(ids, u.ID)
	}
	return ids
}

// Guards against a list that is saved and has more records than the decoder takes: all of them would be lost at the
// next start. The list that was saved before must stay.
func TestListLongerThanItsReaderTakesIsNotSaved(t *testing.T) {
	r := NewLocalStore(journal.OS{}, t.TempDir())
	before := []registry.Departure{{ID: "a", State: registry.Gone}}
	now := time.Now()
	require.NoError(t, r.SaveDepartures(before, now))
	const readersLimit = 1 << 20
	tooLong := make([]registry.Departure, readersLimit+1)
	err := r.SaveDepartures(tooLong, now)
	require.Error(t, err)
	require.False(t, wire.IsPartial(err))
	loaded, err := r.LoadDepartures(now)
	require.NoError(t, err)
	require.Equal(t, before, loaded)
	require.NoError(t, r.SaveDepartures(tooLong[1:], now))
	loaded, err = r.LoadDepartures(now)
	require.NoError(t, err)
	require.Len(t, loaded, readersLimit)
}

// Whatever the file contains, it is loaded in part or refused, and the next save and load work. Guards against a
// host that does not start, or does not save any more, because of a damaged file.
func TestAnyFileIsLoadedOrRefusedAndReplaced(t *testing.T) {
	dir := t.TempDir()
	r := NewLocalStore(journal.OS{}, dir)
	rapid.Check(t, func(rt *rapid.T) {
		body, err := cbor.Marshal(&wire.SavedDepartures{All: badAmongGood(), SavedAt: 1})
		require.NoError(rt, err)
		for range rapid.IntRange(0, 3).Draw(rt, "changes") {
			at := rapid.IntRange(0, len(body)-1).Draw(rt, "at")
			body[at] = rapid.Byte().Draw(rt, "byte")
		}
		body = body[:rapid.IntRange(0, len(body)).Draw(rt, "length")]
		writeWithChecksum(rt, dir, departuresFile, body)
		now := time.Now()
		loaded, err := r.LoadDepartures(now)
		if err != nil && !wire.IsPartial(err) {
			require.Empty(rt, loaded)
		}
		for _, d := range loaded {
			require.Equal(rt, strings.ToValidUTF8(d.ID, ""), d.ID)
		}
		require.NoError(rt, r.SaveDepartures(loaded, now), "what was loaded can be saved")
		again, err := r.LoadDepartures(now)
		require.NoError(rt, err)
		require.ElementsMatch(rt, loaded, again)
	})
}
