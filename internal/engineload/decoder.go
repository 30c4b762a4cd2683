package engineload

import (
	"encoding/binary"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Decoder decodes the messages of one sender. The zero value is ready to use.
type Decoder struct {
	// records are the latest loads, as full records, by engine number.
	records map[uint64]wire.EngineLoad
}

// Decode returns a full record for each load in a message. It skips compact loads of engines
// whose full record it never received or with loads above maxRequests, and everything after bytes that it can't parse.
// unread is a lower bound of the number of skipped loads.
func (v *Decoder) Decode(m *wire.EngineLoads) (loads []wire.EngineLoad, unread int) {
	if v.records == nil {
		v.records = make(map[uint64]wire.EngineLoad)
	}
	for _, l := range m.FullRecords {
		v.records[l.Number] = l
		loads = append(loads, l)
	}
	number := uint64(0)
	for b := m.CompactLoads; len(b) > 0; {
		c, rest, ok := readCompact(b)
		if !ok {
			return loads, unread + 1
		}
		b = rest
		number += c.delta
		l, isKnown := v.records[number]
		if !isKnown || max(c.running, c.waiting) > maxRequests {
			unread++
			continue
		}
		l.Running, l.Waiting, l.Slowdown = int(c.running), int(c.waiting), c.ratio
		v.records[number] = l
		loads = append(loads, l)
	}
	err := decodeRuns(m.UnchangedLoads, len(v.records), func(number uint64) {
		l, isKnown := v.records[number]
		if !isKnown {
			unread++
			return
		}
		loads = append(loads, l)
	})
	if err != nil {
		unread++
	}
	return loads, unread
}

// maxRequests is the highest number of running or waiting requests in a load. Senders limit higher numbers to it, and
// receivers skip compact loads with higher ones.
const maxRequests = 1 << 20

// compactLoad is a compact load as it was received.
type compactLoad struct {
	// delta is the difference between the engine's number and that of the engine before.
	delta, running, waiting uint64
	ratio                   float64
}

// readCompact parses one compact load, as appendCompact writes it, and returns the rest of b.
func readCompact(b []byte) (c compactLoad, rest []byte, ok bool) {
	for _, field := range []*uint64{&c.delta, &c.running, &c.waiting} {
		n, size := binary.Uvarint(b)
		if size <= 0 {
			return compactLoad{}, nil, false
		}
		*field, b = n, b[size:]
	}
	if len(b) == 0 {
		return compactLoad{}, nil, false
	}
	c.ratio = decodeStepRatio(b[0])
	return c, b[1:], true
}
