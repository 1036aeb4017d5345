package routing

import "testing"

func TestFingerprintsDependOnEveryField(t *testing.T) {
	seen := map[Fingerprint][]string{}
	for _, fields := range [][]string{
		{"a", "b"}, {"ab", ""}, {"", "ab"}, {"a", "b", ""}, {"b", "a"}, {"a"}, {},
	} {
		var in [][]byte
		for _, f := range fields {
			in = append(in, []byte(f))
		}
		got := NewFingerprint(in...)
		if again := NewFingerprint(in...); again != got {
			t.Errorf("%q has two fingerprints", fields)
		}
		if other, ok := seen[got]; ok {
			t.Errorf("%q and %q have the same fingerprint", fields, other)
		}
		seen[got] = fields
	}
}
