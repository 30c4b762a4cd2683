package planner

import "math"

const (
	// bitsPerCode is the size of a packed count, and maxCode the largest packed count.
	bitsPerCode = 4
	maxCode     = 1<<bitsPerCode - 1
	// headerBytes is the size of the header, which holds the largest count in 32 bits.
	headerBytes = 4
)

// Pack encodes counts, set by set, in 4 bits each. It quantizes the square root of a count in
// steps of 1/15 of the square root of the largest count. A count of random events has a
// standard deviation of about its square root. So the rounding error is about the same
// fraction of that deviation for all counts, and small beside it in a sum over several ranks.
func Pack(counts [][]uint32) []byte {
	highest, n := uint32(0), 0
	for _, set := range counts {
		n += len(set)
		for _, count := range set {
			highest = max(highest, count)
		}
	}
	out := make([]byte, headerBytes+(n+1)/2)
	out[0], out[1], out[2], out[3] = byte(highest>>24), byte(highest>>16), byte(highest>>8), byte(highest)
	step, index := codeStep(highest), 0
	for _, set := range counts {
		for _, count := range set {
			code := byte(math.Round(math.Sqrt(float64(count)) / step))
			out[headerBytes+index/2] |= code << (bitsPerCode * (index % 2))
			index++
		}
	}
	return out
}

// codeStep returns the difference between the square roots that adjacent codes stand for.
func codeStep(highest uint32) float64 { return max(math.Sqrt(float64(highest))/maxCode, 1.0/maxCode) }

// Unpack decodes the counts of a number of sets and experts. It returns nil if the data has
// another size.
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
			index := set*experts + e
			out[set][e] = counts[data[headerBytes+index/2]>>(bitsPerCode*(index%2))&maxCode]
		}
	}
	return out
}
