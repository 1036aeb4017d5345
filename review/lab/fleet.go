//go:build review

// Package lab starts the project's programs on loopback addresses and plays the platform, the
// operator, the backend servers and the clients around them.
package lab

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes. All machines use the same ones on different addresses.
const (
	controlPort  = 8229
	clientsPort  = 8227
	readyPort    = 8220
	fleetPort    = 7340
	handoffPort  = 7341
	adminPort    = 9464
	lockPort     = 7599
	binary       = "target/kqplatform"
	settingsName = "KUMQUATHOLLOW_SETTINGS"
)

// Zones are the zones of the deployment.
var Zones = []string{"centro-a", "centro-b", "centro-c"}

// Fleet is a small deployment on one loopback network.
type Fleet struct {
	Network string
	Dir     string
	Record  *Record
	Seeds   []string

	lock  net.Listener
	mu    sync.Mutex
	procs []*Proc
}

// NewFleet takes a loopback network that nobody else uses.
func NewFleet(record *Record) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "kq-review-")
	if err != nil {
		return nil, err
	}
	for n := 130; n < 250; n++ {
		network := fmt.Sprint("127.", n)
		if !free(network) {
			continue
		}
		if lock, err := net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", network, lockPort)); err == nil {
			f := &Fleet{Network: network, Dir: dir, Record: record, lock: lock}
			fleets = append(fleets, f)
			return f, nil
		}
	}
	return nil, errors.New("no loopback network is free")
}

// free reports whether no process listens at the first machines of a network.
func free(network string) bool {
	for _, address := range []string{fmt.Sprintf("%s.1.1:%d", network, controlPort), fmt.Sprintf("%s.2.1:%d", network, clientsPort)} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

var fleets []*Fleet

// CloseAll ends the processes of all fleets.
func CloseAll() {
	for _, f := range fleets {
		f.Close()
	}
}

// Proc is one process of the project.
type Proc struct {
	Name, Role, IP, Zone string
	// Data is the data folder of a directory process.
	Data     string
	settings string
	log      string
	fleet    *Fleet

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// Control returns the address for operators and servers.
func (p *Proc) Control() string { return fmt.Sprintf("%s:%d", p.IP, controlPort) }

// Clients returns the address for clients.
func (p *Proc) Clients() string { return fmt.Sprintf("%s:%d", p.IP, clientsPort) }

// Ready returns the address for the platform's readiness checks.
func (p *Proc) Ready() string { return fmt.Sprintf("%s:%d", p.IP, readyPort) }

// ControlAddress returns the control address of the core machine with number n.
func (f *Fleet) ControlAddress(n int) string {
	return fmt.Sprintf("%s.1.%d:%d", f.Network, n, controlPort)
}

func quoted(list []string) string {
	var out []string
	for _, s := range list {
		out = append(out, fmt.Sprintf("%q", s))
	}
	return strings.Join(out, ",")
}

// Directory makes the core machine with number n; it does not start it. The settings are those
// of deploy/directory.yaml.
func (f *Fleet) Directory(n int, zone string, bootstrap bool) (*Proc, error) {
	p := &Proc{Name: fmt.Sprintf("core-%s-%d", zone, n), Role: "directory", IP: fmt.Sprintf("%s.1.%d", f.Network, n), Zone: zone, fleet: f}
	p.Data = filepath.Join(f.Dir, p.Name+"-data")
	return p, f.add(p, f.directorySettings(p, bootstrap))
}

func (f *Fleet) directorySettings(p *Proc, bootstrap bool) string {
	return fmt.Sprintf("name: %q\ndataCentre: %q\noperations: %q\nfleet: \"%s:%d\"\nadmin: \"%s:%d\"\ndata: %q\nseeds: [%s]\nfounding: %v\nmemory: 160\n",
		p.Name, p.Zone, p.Control(), p.IP, fleetPort, p.IP, adminPort, p.Data, quoted(f.Seeds), bootstrap)
}

// Later rewrites the settings of a directory process for its next start: bootstrap is false, and
// the seeds are those of now.
func (f *Fleet) Later(p *Proc) error {
	return os.WriteFile(p.settings, []byte(f.directorySettings(p, false)), 0o600)
}

// Router makes the front machine with number n. The settings are those of deploy/router.yaml.
func (f *Fleet) Router(n int, zone string) (*Proc, error) {
	p := &Proc{Name: fmt.Sprintf("front-%s-%d", zone, n), Role: "router", IP: fmt.Sprintf("%s.2.%d", f.Network, n), Zone: zone, fleet: f}
	text := fmt.Sprintf("name: %q\ndataCentre: %q\nclients: %q\nready: %q\nadmin: \"%s:%d\"\nhandoff: \"%s:%d\"\ndirectoryPort: \"%d\"\nseeds: [%s]\ngrace: 8s\nmemory: 24\n"+
		"bounds:\n  retryRatio: 0.2\n  retrySlack: 54\n  retryWindow: 10s\n  coldFactor: 1.5\n  coldSlack: 5\n  keyTime: 5000ms\n",
		p.Name, zone, p.Clients(), p.Ready(), p.IP, adminPort, p.IP, handoffPort, fleetPort, quoted(f.Seeds))
	return p, f.add(p, text)
}

func (f *Fleet) add(p *Proc, settings string) error {
	p.settings, p.log = filepath.Join(f.Dir, p.Name+".yaml"), filepath.Join(f.Dir, p.Name+".log")
	f.mu.Lock()
	f.procs = append(f.procs, p)
	f.mu.Unlock()
	return os.WriteFile(p.settings, []byte(settings), 0o600)
}

// Start starts the process with the command of the deploy file.
func (p *Proc) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(binary, p.Role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.fleet.Dir, settingsName + "=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	p.fleet.Record.Printf("%s started", p.Name)
	return nil
}

// Signal sends a signal.
func (p *Proc) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
		p.fleet.Record.Printf("%s gets %v", p.Name, s)
	}
}

// Running reports whether the process runs.
func (p *Proc) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Kill kills the process and waits for its end.
func (p *Proc) Kill() {
	p.Signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// Log returns what the process wrote.
func (p *Proc) Log() string {
	data, _ := os.ReadFile(p.log)
	return string(data)
}

// Close ends all processes and removes the folder.
func (f *Fleet) Close() {
	f.mu.Lock()
	procs := f.procs
	f.procs = nil
	f.mu.Unlock()
	for _, p := range procs {
		if p.Running() {
			p.Signal(syscall.SIGCONT)
			p.Signal(syscall.SIGTERM)
		}
	}
	end := time.Now().Add(3 * time.Second)
	for _, p := range procs {
		for p.Running() && time.Now().Before(end) {
			time.Sleep(20 * time.Millisecond)
		}
		if p.Running() {
			p.Kill()
		}
	}
	_ = f.lock.Close()
	_ = os.RemoveAll(f.Dir)
}

// Record writes what happened, with the time since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, start: time.Now()}, err
}

// Since returns the time since the start.
func (r *Record) Since() time.Duration { return time.Since(r.start) }

// Printf writes a line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
