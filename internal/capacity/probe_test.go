package capacity

import "testing"

// TestProbesRun runs each probe at its smallest size.
func TestProbesRun(t *testing.T) {
	for _, p := range Probes() {
		if len(p.Sizes) < minSizes {
			t.Errorf("probe %s has only %d sizes", p.Slope, len(p.Sizes))
		}
		v, err := p.Run(p.Sizes[0])
		if err != nil || v == 0 {
			t.Errorf("%s: value %v, error %v", p.Slope, v, err)
		}
	}
}
