package expertmap

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// Delta encodes a map as its difference from another map. A change moves only a few experts of a
// large group, so a delta has a fraction of the map's size.
type Delta struct {
	// Base is the version of the map that the delta was computed from.
	Base Version `cbor:"1,keyasint"`
	// Version is the version of the resulting map.
	Version      Version `cbor:"2,keyasint"`
	SlotsPerRank int     `cbor:"3,keyasint"`
	// Layers lists the slots whose expert changes, by layer, as pairs of numbers: how many
	// unchanged slots lie between this slot and the previous changed one (or the start of the
	// layer), and the new expert.
	Layers [][]uint16 `cbor:"4,keyasint"`
	// Checksum is the checksum of the whole resulting map. It reveals a base with different
	// content.
	Checksum uint64 `cbor:"5,keyasint"`
}

// Align returns next with the experts of each rank reordered so that those which the rank has in
// base too keep their slots. The order of the experts within a rank has no meaning; keeping it
// makes the delta small.
func Align(base, next Map) Map {
	if !haveSameShape(base, next) {
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

// alignRank reorders the experts of one rank and layer so that those which are also in base keep
// their slots.
func alignRank(base, slots []uint16) {
	remaining := slices.Clone(slots)
	isKept := make([]bool, len(slots))
	for s, expert := range base {
		if i := slices.Index(remaining, expert); i >= 0 {
			slots[s], isKept[s] = expert, true
			remaining = slices.Delete(remaining, i, i+1)
		}
	}
	for s := range slots {
		if !isKept[s] {
			slots[s], remaining = remaining[0], remaining[1:]
		}
	}
}

func haveSameShape(a, b Map) bool {
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

// Diff returns the delta from base to next, or nil if the maps differ in their number of layers
// or slots.
func Diff(base, next Map) *Delta {
	if !haveSameShape(base, next) {
		return nil
	}
	d := &Delta{
		Base: base.Version, Version: next.Version, SlotsPerRank: next.SlotsPerRank,
		Layers: make([][]uint16, len(next.Layers)), Checksum: next.checksum(),
	}
	for l := range next.Layers {
		lastSlot := -1
		for s, expert := range next.Layers[l] {
			if expert == base.Layers[l][s] {
				continue
			}
			d.Layers[l] = append(d.Layers[l], uint16(s-lastSlot-1), expert)
			lastSlot = s
		}
	}
	return d
}

// Apply returns the map that results from applying the delta to base, and whether base has the
// content that the delta was computed from.
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
	return out, out.checksum() == d.Checksum
}

// checksum returns a hash of the map's content, without its version.
func (m Map) checksum() uint64 {
	h := fnv.New64a()
	var word [2]byte
	writeUint16 := func(n uint16) {
		binary.BigEndian.PutUint16(word[:], n)
		_, _ = h.Write(word[:])
	}
	writeUint16(uint16(m.SlotsPerRank))
	for _, layer := range m.Layers {
		writeUint16(uint16(len(layer)))
		for _, expert := range layer {
			writeUint16(expert)
		}
	}
	return h.Sum64()
}

// hasContent distinguishes a map with content from one that holds only a version.
func (m Map) hasContent() bool { return m.SlotsPerRank > 0 }

// maxCachedMaps is how many maps a participant keeps: the map in use, the one before it, and
// those of two aborted changes.
const maxCachedMaps = 4

// mapCache holds the most recently seen maps, the latest at the end.
type mapCache []Map

// find returns the map with the given version.
func (c mapCache) find(v Version) (Map, bool) {
	for _, m := range c {
		if m.Version == v {
			return m, true
		}
	}
	return Map{}, false
}

// add stores a map as the latest one and evicts the oldest one if the cache is full.
func (c *mapCache) add(m Map) {
	if !m.hasContent() {
		return
	}
	c.remove(m.Version)
	*c = append(*c, m)
	if len(*c) > maxCachedMaps {
		*c = slices.Delete(*c, 0, 1)
	}
}

// remove deletes the map with the given version.
func (c *mapCache) remove(v Version) {
	*c = slices.DeleteFunc(*c, func(m Map) bool { return m.Version == v })
}

// versions lists the versions of the cached maps.
func (c mapCache) versions() []Version {
	var out []Version
	for _, m := range c {
		out = append(out, m.Version)
	}
	return out
}
