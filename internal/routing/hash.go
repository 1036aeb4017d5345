package routing

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

const (
	// logTableBits is the number of mantissa bits that index logTable.
	logTableBits = 10
	// logFraction is the number of fractional bits of a fixed-point logarithm.
	logFraction = 32
	// weightScale is the numerator of the inverse weight.
	weightScale = 1 << 25
)

// logTable holds log2(1+i/2^logTableBits) in fixed point with 24 fractional bits.
var logTable = func() [1<<logTableBits + 1]uint64 {
	var t [1<<logTableBits + 1]uint64
	for i := range t {
		t[i] = uint64(math.Round(math.Log2(1+float64(i)/(1<<logTableBits)) * (1 << 24)))
	}
	return t
}()

// ChatHash returns the hash that identifies a chat of a workspace.
func ChatHash(workspace, chat string) uint64 {
	return Mix(Hash(workspace), Hash(chat))
}

// Hash returns the hash of a name. Callers cache it for long-lived names.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Mix combines two hashes into one with the finaliser of xxhash.
func Mix(a, b uint64) uint64 {
	const (
		prime2 = 0xC2B2AE3D27D4EB4F
		prime3 = 0x165667B19E3779F9
	)
	h := a ^ bits.RotateLeft64(b*prime2, 31)
	h ^= h >> 33
	h *= prime2
	h ^= h >> 29
	h *= prime3
	return h ^ h>>32
}

// InverseWeight returns the factor that Cost applies for the weight. It returns 0
// for a weight that is not positive; such a candidate must be left out.
func InverseWeight(weight int) uint32 {
	if weight <= 0 {
		return 0
	}
	return uint32(max(1, weightScale/weight))
}

// Cost returns the rendezvous cost of a candidate for a key; the candidate with the
// lowest cost is chosen. Twice the weight means twice as many keys.
func Cost(key, candidate uint64, inverseWeight uint32) uint64 {
	return negLog2(Mix(key, candidate)) * uint64(inverseWeight)
}

// negLog2 returns -log2(h/2^64) with logFraction fractional bits, of which logTable
// gives 24 and linear interpolation the rest.
func negLog2(h uint64) uint64 {
	h |= 1
	zeros := bits.LeadingZeros64(h)
	mantissa := h << (zeros + 1)
	index := mantissa >> (64 - logTableBits)
	rest := (mantissa << logTableBits) >> (64 - 8)
	low, high := logTable[index], logTable[index+1]
	fraction := low<<8 + (high-low)*rest
	return uint64(zeros+1)<<logFraction - fraction
}

// Fraction maps a hash to a number from 0 up to, but not including, 1.
func Fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
