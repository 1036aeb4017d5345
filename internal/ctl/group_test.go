package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/hashicorp/go-hclog"
	"gopkg.in/yaml.v3"

	"github.com/kumquathollow/kumquathollow/internal/control"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/keys"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// controlGroup is a group of three control processes with mutual TLS, which run
// inside the test process.
type controlGroup struct {
	t     *testing.T
	dir   string
	stops map[string]func()
	// addresses holds the fleet addresses of the processes.
	addresses []string
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := rpc.Listen("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func newControlGroup(t *testing.T) *controlGroup {
	t.Helper()
	g := &controlGroup{t: t, dir: t.TempDir(), stops: map[string]func(){}}
	if err := keys.CreateAuthority(filepath.Join(g.dir, "ca"), time.Hour); err != nil {
		t.Fatal(err)
	}
	var voters []control.VoterSetting
	listeners := map[string]net.Listener{}
	for i := range 3 {
		id := fmt.Sprintf("c%d", i+1)
		listeners[id] = listen(t)
		g.addresses = append(g.addresses, listeners[id].Addr().String())
		voters = append(voters, control.VoterSetting{ID: id, Address: listeners[id].Addr().String()})
	}
	for _, v := range voters {
		g.start(g.settings(v, voters), listeners[v.ID])
	}
	return g
}

func (g *controlGroup) identity(role, name string) settings.TLS {
	g.t.Helper()
	cert, key, err := keys.IssueCertificate(filepath.Join(g.dir, "ca"), filepath.Join(g.dir, "issued"), role, name, time.Hour)
	if err != nil {
		g.t.Fatal(err)
	}
	return settings.TLS{CA: filepath.Join(g.dir, "ca", keys.CACertFile), Cert: cert, Key: key}
}

func (g *controlGroup) settings(self control.VoterSetting, voters []control.VoterSetting) *control.Settings {
	return &control.Settings{
		Node: self.ID, DataCentre: "tt-north-a", Address: self.Address, Admin: "127.0.0.1:0",
		Data: filepath.Join(g.dir, "data-"+self.ID), Voters: voters, TLS: g.identity(keys.RoleControl, self.ID),
	}
}

func (g *controlGroup) start(conf *control.Settings, l net.Listener) {
	g.t.Helper()
	server, err := keys.FleetServerConfig(conf.TLS)
	if err != nil {
		g.t.Fatal(err)
	}
	p, err := control.Open(vfs.Default, conf, hclog.NewNullLogger(), control.Options{FleetListener: tls.NewListener(l, server), AdminListener: listen(g.t)})
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = p.Run(ctx) }()
	g.stops[conf.Node] = func() { cancel(); <-done }
	g.t.Cleanup(g.stops[conf.Node])
}

// run runs kqctl as the operator and returns its output.
func (g *controlGroup) run(operator string, exit int, args ...string) string {
	g.t.Helper()
	id := g.identity(keys.RoleOperator, operator)
	args = append(args, "--ca", id.CA, "--cert", id.Cert, "--key", id.Key, "--timeout", "20s",
		"--control", strings.Join(g.addresses, ","), "--state", filepath.Join(g.dir, "state"))
	var out, errs bytes.Buffer
	if got := Main(context.Background(), args, &out, &errs); got != exit {
		g.t.Fatalf("kqctl %v: exit code %d, want %d\n%s%s", args, got, exit, out.String(), errs.String())
	}
	return out.String()
}

func (g *controlGroup) leader() string {
	g.t.Helper()
	var v statusView
	if err := json.Unmarshal([]byte(g.run("ana", errkind.ExitOK, "status", "--json")), &v); err != nil {
		g.t.Fatal(err)
	}
	return v.Leader
}

func TestAgainstAControlGroup(t *testing.T) {
	g := newControlGroup(t)
	dir := filepath.Join(g.dir, "declarations")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "a.yaml"), []byte(testDeclarations), 0o644); err != nil {
		t.Fatal(err)
	}
	g.run("ana", errkind.ExitOK, "apply", dir, "--change-id", "first")
	g.run("ana", errkind.ExitConflict, "apply", g.writeChangedDeclarations(dir), "--change-id", "first")
	g.run("luis", errkind.ExitOK, "drain", "dc/tt-north-a")
	if out := g.run("ana", errkind.ExitOK, "history"); !strings.Contains(out, "luis  drain") || !strings.Contains(out, "ana  apply") {
		t.Errorf("history printed\n%s", out)
	}
	saved := filepath.Join(g.dir, "saved")
	g.run("ana", errkind.ExitOK, "snapshot", "save", saved)

	g.stops[g.leader()]()
	g.run("ana", errkind.ExitOK, "undo")
	if out := g.run("ana", errkind.ExitOK, "plan", dir); out != "no changes\n" {
		t.Errorf("plan after the undo printed\n%s", out)
	}
	for _, stop := range g.stops {
		stop()
	}
	g.restore(saved)
	if out := g.run("ana", errkind.ExitOK, "get", "DataCentre"); !strings.Contains(out, "state: out") {
		t.Errorf("get DataCentre after the restore printed\n%s", out)
	}
}

// writeChangedDeclarations returns a folder with the same declarations and
// one more workspace.
func (g *controlGroup) writeChangedDeclarations(dir string) string {
	g.t.Helper()
	other := dir + "-changed"
	if err := os.MkdirAll(other, 0o755); err != nil {
		g.t.Fatal(err)
	}
	text := testDeclarations + "---\nkind: Workspace\nname: arima\n"
	if err := os.WriteFile(filepath.Join(other, "a.yaml"), []byte(text), 0o644); err != nil {
		g.t.Fatal(err)
	}
	return other
}

// restore bootstraps a new group from the snapshot and starts it.
func (g *controlGroup) restore(saved string) {
	g.t.Helper()
	l := listen(g.t)
	g.addresses = []string{l.Addr().String()}
	conf := g.settings(control.VoterSetting{ID: "c9", Address: l.Addr().String()}, nil)
	text, err := yaml.Marshal(conf)
	if err != nil {
		g.t.Fatal(err)
	}
	path := filepath.Join(g.dir, "c9.yaml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		g.t.Fatal(err)
	}
	g.run("ana", errkind.ExitOK, "snapshot", "inspect", saved)
	g.run("ana", errkind.ExitOK, "snapshot", "restore", saved, "--settings", path)
	g.run("ana", errkind.ExitFailed, "snapshot", "restore", saved, "--settings", path)
	g.start(conf, l)
}
