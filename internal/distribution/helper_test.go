package distribution

import (
	"fmt"
	"testing"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
)

// workspaceObject returns a workspace in its wire format.
func workspaceObject(name string, weight int) *controlpb.Object {
	return &controlpb.Object{
		Kind: config.KindWorkspace, Name: name,
		Body: fmt.Appendf(nil, `{"name":%q,"weight":%d}`, name, weight),
	}
}

// history returns the sets at revisions 1 to n of the epoch. Each revision changes
// or deletes one of eight workspaces.
func history(t testing.TB, epoch uint64, n int) []*config.Set {
	t.Helper()
	sets := []*config.Set{config.NewSet(config.Revision{Epoch: epoch, Number: 1})}
	for i := 2; i <= n; i++ {
		name := fmt.Sprintf("w%d", i%8)
		rev := config.Revision{Epoch: epoch, Number: uint64(i)}
		var up []*controlpb.Object
		var del []*controlpb.ObjectKey
		if i%5 == 0 {
			del = append(del, &controlpb.ObjectKey{Kind: config.KindWorkspace, Name: name})
		} else {
			up = append(up, workspaceObject(name, i))
		}
		s, err := sets[len(sets)-1].Apply(rev, up, del)
		if err != nil {
			t.Fatal(err)
		}
		sets = append(sets, s)
	}
	return sets
}

func equalSets(t testing.TB, a, b *config.Set) bool {
	t.Helper()
	up, del, err := config.Diff(a, b)
	if err != nil {
		t.Fatal(err)
	}
	return len(up)+len(del) == 0 && a.Revision == b.Revision
}
