package engineload

import (
	"encoding/binary"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Decoder is what a receiver knows of one sender's engines. The zero value is ready.
type Decoder struct {
	records map[uint64]wire.EngineLoad
}

// Decode returns the records that a message stands for. Brief loads of engines whose record
// did not come are left out, and so is what follows bytes that can't be read; the number of
// those left out at least is unread.
func (v *Decoder) Decode(m *wire.EngineLoads) (loads []wire.EngineLoad, unread int) {
	if v.records == nil {
		v.records = make(map[uint64]wire.EngineLoad)
	}
	for _, l := range m.All {
		v.records[l.Number] = l
		loads = append(loads, l)
	}
	number := uint64(0)
	for b := m.Brief; len(b) > 0; {
		step, running, waiting, pace, rest, ok := readCompact(b)
		if !ok {
			return loads, unread + 1
		}
		b = rest
		number += step
		l, isKnown := v.records[number]
		if !isKnown {
			unread++
			continue
		}
		l.Running, l.Waiting, l.Pace = running, waiting, pace
		loads = append(loads, l)
	}
	return loads, unread
}

// maxRequests bounds the requests that a brief load may tell.
const maxRequests = 1 << 20

func readCompact(b []byte) (step uint64, running, waiting int, pace float64, rest []byte, ok bool) {
	var fields [3]uint64
	for i := range fields {
		n, size := binary.Uvarint(b)
		if size <= 0 {
			return 0, 0, 0, 0, nil, false
		}
		fields[i], b = n, b[size:]
	}
	if len(b) == 0 || fields[1] > maxRequests || fields[2] > maxRequests {
		return 0, 0, 0, 0, nil, false
	}
	return fields[0], int(fields[1]), int(fields[2]), decodeStepRatio(b[0]), b[1:], true
}
