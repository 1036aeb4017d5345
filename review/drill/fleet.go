//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errCannotRun marks errors for which a case says nothing about the software.
var errCannotRun = errors.New("the case could not run")

// node is one machine with one process of the fleet.
type node struct {
	name, role, zone, ip string
	settings             string
	logPath              string
	mu                   sync.Mutex
	cmd                  *exec.Cmd
	ended                chan struct{}
}

// fleet is a small deployment on loopback addresses: each machine has an address of its own, and ports are the
// same on all of them.
type fleet struct {
	root, dir string
	rec       *record
	cores     []*node
	fronts    []*node
	bounds    map[string]any
	controlPort, fleetPort, handoffPort,
	frontPort, readyPort int
	network string
	// coreCount counts the machines that the core has had, and removed are those that have left it for good.
	coreCount int
	removed   []*node
	lock      net.Listener
}

var zoneNames = []string{"centro-a", "centro-b", "centro-c"}

// brincoBounds are the bounds of the Brinco sheet.
func brincoBounds() map[string]any {
	return map[string]any{
		"grace_s": 8, "retry_budget_ratio": 0.2, "retry_slack": 54, "retry_window_s": 10, "cold_burst_factor": 1.5, "cold_slack": 5, "revoke_ms": 5000,
	}
}

func newFleet(rec *record, cores, fronts int) (*fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "drill")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, rec: rec, bounds: brincoBounds()}
	if err := f.takeNetwork(); err != nil {
		return nil, err
	}
	f.stopOnSignal()
	for i := range cores {
		f.cores = append(f.cores, f.newNode("directory", i, 1))
	}
	f.coreCount = cores
	for i := range fronts {
		f.fronts = append(f.fronts, f.newNode("router", i, 2))
	}
	for _, n := range f.nodes() {
		if err := f.writeSettings(n, true); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// takeNetwork takes a loopback network and five ports that no other run uses.
func (f *fleet) takeNetwork() error {
	for range 200 {
		f.network = fmt.Sprintf("127.%d.%d", 130+rand.IntN(100), 1+rand.IntN(250))
		base := 21000 + 10*rand.IntN(800)
		lock, err := net.Listen("tcp", fmt.Sprintf("%s.250:%d", f.network, base))
		if err != nil {
			continue
		}
		f.lock = lock
		f.controlPort, f.frontPort, f.readyPort, f.fleetPort, f.handoffPort = base+1, base+2, base+3, base+4, base+5
		return nil
	}
	return fmt.Errorf("%w: no loopback network is free", errCannotRun)
}

func (f *fleet) newNode(role string, i, group int) *node {
	name := fmt.Sprintf("%s-%s-%d", role, zoneNames[i%3], i/3+1)
	return &node{name: name, role: role, zone: zoneNames[i%3], ip: fmt.Sprintf("%s.%d", f.network, group*20+i), settings: filepath.Join(f.dir, name+".yaml"), logPath: filepath.Join(f.dir, name+".log")}
}

func (f *fleet) nodes() []*node {
	return append(append(append([]*node{}, f.cores...), f.removed...), f.fronts...)
}

func (f *fleet) controlAddresses() (out []string) {
	for _, n := range f.cores {
		out = append(out, fmt.Sprintf("%s:%d", n.ip, f.controlPort))
	}
	return out
}

func (f *fleet) frontAddress(n *node) string { return fmt.Sprintf("%s:%d", n.ip, f.frontPort) }

// writeSettings fills in the template of the deploy file, as the platform does.
func (f *fleet) writeSettings(n *node, bootstrap bool) error {
	data, err := os.ReadFile(filepath.Join(f.root, "deploy", n.role+".yaml"))
	if err != nil {
		return err
	}
	seeds := f.controlAddresses()
	values := map[string]any{
		"node_name": n.name, "zone": n.zone, "ip": n.ip, "bootstrap": bootstrap, "data_dir": filepath.Join(f.dir, n.name+"-data"), "seeds": seeds[:min(3, len(seeds))],
		"internal_ports":  []any{f.fleetPort, f.handoffPort},
		"listen_addrs":    map[string]any{"control_plane": fmt.Sprintf("%s:%d", n.ip, f.controlPort), "frontend": f.frontAddress(n), "ready": fmt.Sprintf("%s:%d", n.ip, f.readyPort)},
		"fault_tolerance": map[string]any{"machines": 1, "zones": 1},
		"bounds":          f.bounds,
	}
	return os.WriteFile(n.settings, []byte(fill(string(data), values)), 0o600)
}

// Sections and values of a template.
var (
	section = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/([a-z_.0-9]+)\}\}`)
	value   = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// fill fills in the placeholders and sections that the templates use.
func fill(text string, values map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		switch v := find(values, m[1]).(type) {
		case nil:
			return ""
		case []string:
			var b strings.Builder
			for i, e := range v {
				comma := ", "
				if i == len(v)-1 {
					comma = ""
				}
				b.WriteString(strings.ReplaceAll(strings.ReplaceAll(m[2], "{{.}}", e), "{{,}}", comma))
			}
			return b.String()
		default:
			return m[2]
		}
	})
	return value.ReplaceAllStringFunc(text, func(s string) string {
		v := find(values, value.FindStringSubmatch(s)[1])
		if v == nil {
			return ""
		}
		return fmt.Sprint(v)
	})
}

func find(values map[string]any, path string) any {
	var at any = values
	for part := range strings.SplitSeq(path, ".") {
		switch v := at.(type) {
		case map[string]any:
			at = v[part]
		case []any:
			i := int(part[0] - '0')
			if i >= len(v) {
				return nil
			}
			at = v[i]
		default:
			return nil
		}
	}
	return at
}

// start starts the process of a machine with the command of the deploy file.
func (f *fleet) start(n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/kqplatform", n.role)
	cmd.Dir = f.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "KUMQUATHOLLOW_SETTINGS=" + n.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%w: %v", errCannotRun, err)
	}
	n.cmd, n.ended = cmd, make(chan struct{})
	ended := n.ended
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		f.rec.add("process %s ended: %v", n.name, err)
		close(ended)
	}()
	f.rec.add("process %s started", n.name)
	return nil
}

func (f *fleet) startAll() error {
	for _, n := range f.nodes() {
		if err := f.start(n); err != nil {
			return err
		}
	}
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits until it has ended.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	if n.ended != nil {
		<-n.ended
	}
}

// stopOnSignal ends all processes if this one is told to end.
func (f *fleet) stopOnSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		f.stopAll()
		os.Exit(2)
	}()
}

// stopAll ends all processes and removes the temporary folder.
func (f *fleet) stopAll() {
	for _, n := range f.nodes() {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range f.nodes() {
		if n.ended != nil {
			<-n.ended
		}
	}
	_ = f.lock.Close()
	_ = os.RemoveAll(f.dir)
}

var controlClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call of the operator or of a server.
func call(method, url string, body any) (int, []byte, error) {
	var data []byte
	if body != nil {
		if raw, ok := body.([]byte); ok {
			data = raw
		} else {
			var err error
			if data, err = json.Marshal(body); err != nil {
				return 0, nil, err
			}
		}
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := controlClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return resp.StatusCode, got, err
}

// order sends an order of the operator to one control machine after the other until one acknowledges it.
func (f *fleet) order(path string, body any, within time.Duration) (ackedAt time.Time, err error) {
	addresses := f.controlAddresses()
	first := rand.IntN(len(addresses))
	for n, end := 0, time.Now().Add(within); time.Now().Before(end); n++ {
		a := addresses[(first+n)%len(addresses)]
		status, got, err := call(http.MethodPost, "http://"+a+path, body)
		f.rec.add("operator: POST %s to %s: %d %v %.80s", path, a, status, err, got)
		if err == nil && status/100 == 2 {
			return time.Now(), nil
		}
		time.Sleep(time.Duration(min(n+1, 10)) * 50 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("%w: no acknowledgement of %s within %s", errCannotRun, path, within)
}

// awaitReady waits until all routers are ready.
func (f *fleet) awaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range f.fronts {
			if status, _, err := call(http.MethodGet, fmt.Sprintf("http://%s:%d/-/ready", n.ip, f.readyPort), nil); err == nil && status == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.fronts) {
			return nil
		}
	}
	return fmt.Errorf("%w: the routers were not ready within %s", errCannotRun, within)
}
