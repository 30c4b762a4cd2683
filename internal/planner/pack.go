package planner

import "math"

const (
	// bitsPerCode is how many bits a packed count has, mostCode the highest of them.
	bitsPerCode = 4
	maxCode     = 1<<bitsPerCode - 1
	// headerBytes is how many bytes go before the counts: the largest one, of 32 bits.
	headerBytes = 4
)

// Pack writes counts, set after set, in half a byte each: as their square roots, in
// steps of a fifteenth of the largest one's. A count of events that come by chance varies
// by its square root, so that what rounding adds is about the same everywhere, and small
// beside that where several ranks are added up.
func Pack(picks [][]uint32) []byte {
	most, n := uint32(0), 0
	for _, set := range picks {
		n += len(set)
		for _, count := range set {
			most = max(most, count)
		}
	}
	out := make([]byte, headerBytes+(n+1)/2)
	out[0], out[1], out[2], out[3] = byte(most>>24), byte(most>>16), byte(most>>8), byte(most)
	step, at := codeStep(most), 0
	for _, set := range picks {
		for _, count := range set {
			code := byte(math.Round(math.Sqrt(float64(count)) / step))
			out[headerBytes+at/2] |= code << (bitsPerCode * (at % 2))
			at++
		}
	}
	return out
}

// codeStep is the distance of two codes, as square roots.
func codeStep(most uint32) float64 { return max(math.Sqrt(float64(most))/maxCode, 1.0/maxCode) }

// Unpack reads packed counts of that many sets and experts. It returns nil where they
// are not of that shape.
func Unpack(data []byte, sets, experts int) [][]uint32 {
	if len(data) != headerBytes+(sets*experts+1)/2 {
		return nil
	}
	step := codeStep(uint32(data[0])<<24 | uint32(data[1])<<16 | uint32(data[2])<<8 | uint32(data[3]))
	var counts [maxCode + 1]uint32
	for code := range counts {
		root := float64(code) * step
		counts[code] = uint32(math.Round(root * root))
	}
	out := make([][]uint32, sets)
	for set := range out {
		out[set] = make([]uint32, experts)
		for e := range out[set] {
			at := set*experts + e
			out[set][e] = counts[data[headerBytes+at/2]>>(bitsPerCode*(at%2))&maxCode]
		}
	}
	return out
}
