package directory

import (
	"bytes"
	"io"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/storage"
)

// Guards against a sound folder that is set aside, and its voter replaced without notice: the storage has verified the
// snapshot, and this version cannot load it. The process must say so and keep the folder, whatever the others hold.
func TestAFolderThatThisVersionCannotLoadIsKept(t *testing.T) {
	c := newCluster(t, 3)
	c.publish(hosts[0], 1, "one")
	fs := c.nodes[hosts[1]].fs
	c.stop(hosts[1])
	s, restored, err := storage.Open(fs, "data", c.settings(hosts[1]).Fleet)
	if err != nil {
		t.Fatal(err)
	}
	last := restored.Entries[len(restored.Entries)-1]
	err = s.SaveSnapshot(&pb.SnapshotMeta{Index: last.Index, Term: last.Term, Voters: &pb.VoterSet{}}, func(w io.Writer) error {
		_, err := io.WriteString(w, "\xff\xffthe state of another version")
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	before := filesIn(t, fs)
	var log bytes.Buffer
	_, err = OpenOrReplace(t.Context(), fs, c.settings(hosts[1]), hclog.New(&hclog.LoggerOptions{Output: &log}))
	if !errors.Is(err, storage.ErrNotLoaded) || errkind.Is(err, errkind.DamagedStorage) || !strings.Contains(err.Error(), "data folder data is kept") {
		t.Errorf("started with %v", err)
	}
	if after := filesIn(t, fs); !slices.Equal(before, after) || strings.Contains(log.String(), "set aside") {
		t.Errorf("files %v, before %v; logged: %s", after, before, &log)
	}
}
