package capacity

import "testing"

// TestProbesRun runs every probe at its smallest size.
func TestProbesRun(t *testing.T) {
	for _, p := range Probes() {
		if len(p.Sizes) < minSizes {
			t.Errorf("%s is measured at %d sizes", p.Slope, len(p.Sizes))
		}
		v, err := p.Run(p.Sizes[0])
		if err != nil || v == 0 {
			t.Errorf("%s: value %v, error %v", p.Slope, v, err)
		}
	}
}
