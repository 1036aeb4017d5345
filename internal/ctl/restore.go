package ctl

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/control"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// snapshotView is a saved state in kqctl's JSON output.
type snapshotView struct {
	Revision config.Revision `json:"revision"`
	Objects  int             `json:"objects"`
	Changes  int             `json:"changes"`
	Claims   int             `json:"claims"`
	Until    time.Time       `json:"until"`
	Last     []auditView     `json:"last,omitempty"`
}

// snapshotInspect checks a saved state and shows what it holds.
func (a *app) snapshotInspect() error {
	f, err := os.Open(a.path)
	if err != nil {
		return errkind.Wrap(err, errkind.Usage, "open the snapshot")
	}
	defer f.Close()
	s, err := control.Inspect(f)
	if err != nil {
		return err
	}
	v := snapshotView{Revision: s.Revision, Objects: s.Objects, Changes: s.Changes, Claims: s.Claims, Until: time.UnixMilli(s.ClockMs).UTC()}
	if s.Last != nil {
		v.Last = auditViews([]*controlpb.AuditEntry{s.Last})
	}
	a.show(v, func(w io.Writer) {
		fmt.Fprintf(w, "revision %s, %d objects, %d changes, %d claims, up to %s\n",
			revisionText(v.Revision), v.Objects, v.Changes, v.Claims, v.Until.Format(time.RFC3339))
		if s.Last != nil {
			printAudit(w, s.Last)
		}
	})
	return nil
}

// snapshotRestore founds a new group from a saved state. It works on the empty
// data folder of a control process that does not run.
func (a *app) snapshotRestore() error {
	if a.target == "" {
		return errkind.New(errkind.Usage, "give --settings, the settings file of the first control process")
	}
	conf, err := control.LoadSettings(a.target)
	if err != nil {
		return err
	}
	rev, err := control.RestoreFile(vfs.Default, conf, a.path, time.Now())
	if err != nil {
		return err
	}
	a.show(map[string]any{"revision": rev, "voter": conf.Node}, func(w io.Writer) {
		fmt.Fprintf(w, "restored as revision %s with %s as the only voter; start it, then add the others with kqctl voter add\n", revisionText(rev), conf.Node)
	})
	return nil
}
