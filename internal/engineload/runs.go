package engineload

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// run is a number of engines with consecutive numbers.
type run struct {
	first, length uint64
}

// runs is a set of engine numbers, built in ascending order.
type runs struct {
	list []run
}

// add adds a number that is higher than all before.
func (r *runs) add(number uint64) {
	if n := len(r.list); n > 0 && r.list[n-1].first+r.list[n-1].length == number {
		r.list[n-1].length++
		return
	}
	r.list = append(r.list, run{first: number, length: 1})
}

// encode returns, for each run, the difference between its first number and the end of the run
// before, and its length.
func (r *runs) encode() []byte {
	var b []byte
	end := uint64(0)
	for _, next := range r.list {
		b = binary.AppendUvarint(b, next.first-end)
		b = binary.AppendUvarint(b, next.length)
		end = next.first + next.length
	}
	return b
}

// errRuns is returned for bytes that are not an encoded set of numbers.
var errRuns = errors.New("engineload: unreadable numbers")

// decodeRuns calls visit with each number of an encoded set. It fails after as many numbers as were
// readable if the bytes are not valid or hold more than limit numbers.
func decodeRuns(b []byte, limit int, visit func(number uint64)) error {
	next, remaining := uint64(0), uint64(limit)
	for len(b) > 0 {
		gap, size := binary.Uvarint(b)
		if size <= 0 {
			return errRuns
		}
		b = b[size:]
		length, size := binary.Uvarint(b)
		if size <= 0 || length > remaining {
			return errRuns
		}
		b = b[size:]
		remaining -= length
		next += gap
		for range length {
			visit(next)
			next++
		}
	}
	return nil
}
