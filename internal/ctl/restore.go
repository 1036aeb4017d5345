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

// snapshotView is the JSON output for a snapshot.
type snapshotView struct {
	Revision   config.Revision `json:"revision"`
	Objects    int             `json:"objects"`
	Changes    int             `json:"changes"`
	Claims     int             `json:"claims"`
	Until      time.Time       `json:"until"`
	LastChange []auditView     `json:"last,omitempty"`
}

// snapshotInspect verifies a snapshot and prints its summary.
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
	if s.LastChange != nil {
		v.LastChange = auditViews([]*controlpb.AuditEntry{s.LastChange})
	}
	a.printResult(v, func(w io.Writer) {
		fmt.Fprintf(w, "revision %s, %d objects, %d changes, %d claims, up to %s\n",
			formatRevision(v.Revision), v.Objects, v.Changes, v.Claims, v.Until.Format(time.RFC3339))
		if s.LastChange != nil {
			printAudit(w, s.LastChange)
		}
	})
	return nil
}

// snapshotRestore bootstraps a new control group from a snapshot. It writes to
// the empty data folder of a control process that is not running.
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
	a.printResult(map[string]any{"revision": rev, "voter": conf.Node}, func(w io.Writer) {
		fmt.Fprintf(w, "restored as revision %s with %s as the only voter; start it, then add the others with kqctl voter add\n", formatRevision(rev), conf.Node)
	})
	return nil
}
