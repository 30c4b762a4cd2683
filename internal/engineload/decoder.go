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
// whose full record it never received, and everything after bytes that it can't parse.
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
		delta, running, waiting, ratio, rest, ok := readCompact(b)
		if !ok {
			return loads, unread + 1
		}
		b = rest
		number += delta
		l, isKnown := v.records[number]
		if !isKnown {
			unread++
			continue
		}
		l.Running, l.Waiting, l.Slowdown = running, waiting, ratio
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

// maxRequests is the highest number of running or waiting requests in a compact load. Higher numbers are taken
// for this one: no engine has as many, but one may say so.
const maxRequests = 1 << 20

// readCompact parses one compact load, as appendCompact writes it, and returns the rest of b.
func readCompact(b []byte) (delta uint64, running, waiting int, ratio float64, rest []byte, ok bool) {
	var fields [3]uint64
	for i := range fields {
		n, size := binary.Uvarint(b)
		if size <= 0 {
			return 0, 0, 0, 0, nil, false
		}
		fields[i], b = n, b[size:]
	}
	if len(b) == 0 {
		return 0, 0, 0, 0, nil, false
	}
	return fields[0], int(min(fields[1], maxRequests)), int(min(fields[2], maxRequests)), decodeStepRatio(b[0]), b[1:], true
}
