package expertmap

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// Delta is a map as its difference from another one: a change moves a few of the experts of
// a large group, so it is a fraction of the map.
type Delta struct {
	// Base is the map that the delta was taken from.
	Base Version `cbor:"1,keyasint"`
	// Version is the map that it stands for.
	Version      Version `cbor:"2,keyasint"`
	SlotsPerRank int     `cbor:"3,keyasint"`
	// Layers gives, by layer, pairs of numbers for each slot that has another expert: how
	// many slots lie between it and the one before (or the first), and the expert.
	Layers [][]uint16 `cbor:"4,keyasint"`
	// Checksum is the digest of the whole map: a base with other content is noticed.
	Checksum uint64 `cbor:"5,keyasint"`
}

// Align returns next with the experts of each rank in such an order that those which it
// has in base stay in their slots. A map means the same in any order.
func Align(base, next Map) Map {
	if !haveOneShape(base, next) {
		return next
	}
	out := Map{Version: next.Version, SlotsPerRank: next.SlotsPerRank, Layers: make([][]uint16, len(next.Layers))}
	for l := range next.Layers {
		out.Layers[l] = slices.Clone(next.Layers[l])
		for first := 0; first+next.SlotsPerRank <= len(next.Layers[l]); first += next.SlotsPerRank {
			alignRank(base.Layers[l][first:first+next.SlotsPerRank], out.Layers[l][first:first+next.SlotsPerRank])
		}
	}
	return out
}

// alignRank moves the experts of one rank and layer to their slots in base.
func alignRank(base, slots []uint16) {
	fresh := slices.Clone(slots)
	isKept := make([]bool, len(slots))
	for s, expert := range base {
		if i := slices.Index(fresh, expert); i >= 0 {
			slots[s], isKept[s] = expert, true
			fresh = slices.Delete(fresh, i, i+1)
		}
	}
	for s := range slots {
		if !isKept[s] {
			slots[s], fresh = fresh[0], fresh[1:]
		}
	}
}

func haveOneShape(a, b Map) bool {
	if a.SlotsPerRank != b.SlotsPerRank || a.SlotsPerRank <= 0 || len(a.Layers) != len(b.Layers) {
		return false
	}
	for l := range a.Layers {
		if len(a.Layers[l]) != len(b.Layers[l]) || len(a.Layers[l])%a.SlotsPerRank != 0 {
			return false
		}
	}
	return true
}

// Diff returns next as a delta, nil where the maps don't have one shape.
func Diff(base, next Map) *Delta {
	if !haveOneShape(base, next) {
		return nil
	}
	d := &Delta{
		Base: base.Version, Version: next.Version, SlotsPerRank: next.SlotsPerRank,
		Layers: make([][]uint16, len(next.Layers)), Checksum: next.sum(),
	}
	for l := range next.Layers {
		last := -1
		for s, expert := range next.Layers[l] {
			if expert == base.Layers[l][s] {
				continue
			}
			d.Layers[l] = append(d.Layers[l], uint16(s-last-1), expert)
			last = s
		}
	}
	return d
}

// Apply returns the map that the delta stands for, and whether base was the map that it
// was taken from.
func (d *Delta) Apply(base Map) (Map, bool) {
	out := Map{Version: d.Version, SlotsPerRank: d.SlotsPerRank, Layers: make([][]uint16, len(base.Layers))}
	if base.SlotsPerRank != d.SlotsPerRank || len(base.Layers) != len(d.Layers) {
		return Map{}, false
	}
	for l, pairs := range d.Layers {
		out.Layers[l] = slices.Clone(base.Layers[l])
		slot := -1
		for ; len(pairs) >= 2; pairs = pairs[2:] {
			slot += int(pairs[0]) + 1
			if slot >= len(out.Layers[l]) {
				return Map{}, false
			}
			out.Layers[l][slot] = pairs[1]
		}
	}
	return out, out.sum() == d.Checksum
}

// sum is the digest of a map's content.
func (m Map) sum() uint64 {
	h := fnv.New64a()
	var word [2]byte
	put := func(n uint16) {
		binary.BigEndian.PutUint16(word[:], n)
		_, _ = h.Write(word[:])
	}
	put(uint16(m.SlotsPerRank))
	for _, layer := range m.Layers {
		put(uint16(len(layer)))
		for _, expert := range layer {
			put(expert)
		}
	}
	return h.Sum64()
}

// hasContent tells a map from a bare version.
func (m Map) hasContent() bool { return m.SlotsPerRank > 0 }

// mostMaps is how many maps a participant remembers: the one in use, the one before, and
// those of two changes that were given up.
const mostMaps = 4

// library remembers the maps that were seen last, the latest at the end.
type library []Map

// find returns a map that is remembered.
func (l library) find(v Version) (Map, bool) {
	for _, m := range l {
		if m.Version == v {
			return m, true
		}
	}
	return Map{}, false
}

// keep remembers a map in place of the one that was seen longest ago.
func (l *library) keep(m Map) {
	if !m.hasContent() {
		return
	}
	l.drop(m.Version)
	*l = append(*l, m)
	if len(*l) > mostMaps {
		*l = slices.Delete(*l, 0, 1)
	}
}

// drop forgets a map.
func (l *library) drop(v Version) {
	*l = slices.DeleteFunc(*l, func(m Map) bool { return m.Version == v })
}

// versions lists what is remembered.
func (l library) versions() []Version {
	var out []Version
	for _, m := range l {
		out = append(out, m.Version)
	}
	return out
}
