package routing

import "testing"

func TestFingerprintsDependOnEveryField(t *testing.T) {
	seen := map[Fingerprint][]string{}
	for _, fields := range [][]string{
		{"a", "b"}, {"ab", ""}, {"", "ab"}, {"a", "b", ""}, {"b", "a"}, {"a"}, {},
	} {
		of := func() Fingerprint {
			var in [][]byte
			for _, f := range fields {
				in = append(in, []byte(f))
			}
			return NewFingerprint(in...)
		}
		if of() != of() {
			t.Errorf("%q has two fingerprints", fields)
		}
		if other, ok := seen[of()]; ok {
			t.Errorf("%q and %q have the same fingerprint", fields, other)
		}
		seen[of()] = fields
	}
}
