//go:build review

package main

import (
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

// Ports are the same on all machines, as on the platform. Each machine has a loopback address of its own.
const (
	operationsPort = 8121
	clientsPort    = 8128
	readyPort      = 8129
	fleetPort      = 7340
	handoffPort    = 7341
	adminPort      = 9464
	// ownFleetPort is where a directory process listens if its fleet port is that of its link.
	ownFleetPort = 17340
	serverPort   = 8080
)

// stage is a small deployment and the record of a run.
type stage struct {
	dir, program string
	// network is the first three numbers of all addresses.
	network string
	began   time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
	stops     []func()
	// links are those of the core machines.
	links []*link
}

// newStage chooses addresses that are free, and a temporary folder.
func newStage(program, record string) (*stage, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "kqreview")
	if err != nil {
		return nil, err
	}
	s := &stage{dir: dir, program: program, began: time.Now(), record: f}
	for i := range 200 {
		n := os.Getpid() + i
		s.network = fmt.Sprintf("127.%d.%d", 64+n/250%150, 1+n%250)
		if s.isFree() {
			return s, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

func (s *stage) isFree() bool {
	for host := 1; host <= 12; host++ {
		for _, port := range []int{operationsPort, clientsPort, fleetPort, serverPort} {
			l, err := net.Listen("tcp", s.address(host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (s *stage) ip(host int) string { return fmt.Sprintf("%s.%d", s.network, host) }

func (s *stage) address(host, port int) string { return fmt.Sprintf("%s:%d", s.ip(host), port) }

// note writes a line to the record.
func (s *stage) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// onClose adds a function that close calls.
func (s *stage) onClose(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stops = append(s.stops, f)
}

// close ends all processes and stand-ins, and removes the folder.
func (s *stage) close() {
	s.mu.Lock()
	processes, stops := s.processes, s.stops
	s.mu.Unlock()
	for _, p := range processes {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	for _, stop := range stops {
		stop()
	}
	_ = s.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
}

// process is a program of the deploy file on one machine.
type process struct {
	s                          *stage
	name, role, settings, data string
	host                       int

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func (s *stage) newProcess(name, role string, host int) *process {
	p := &process{s: s, name: name, role: role, host: host, settings: filepath.Join(s.dir, name+".yaml"), data: filepath.Join(s.dir, name+"-data")}
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	return p
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.s.program, p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KUMQUATHOLLOW_SETTINGS=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.s.note("%s ended: %v", p.name, err)
		close(exited)
	}()
	p.s.note("%s started", p.name)
	return nil
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig) // It may have ended.
	}
}

// kill ends the process as a crash does, and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-exited
}

func quoted(addresses []string) string {
	var out []string
	for _, a := range addresses {
		out = append(out, fmt.Sprintf("%q", a))
	}
	return strings.Join(out, ", ")
}

// bounds are those of the small installations.
const (
	catchUp  = 4 * time.Second
	keyTime  = 5 * time.Second
	recovery = 12 * time.Second
	grace    = 8 * time.Second
)

// writeDirectorySettings fills in deploy/directory.yaml. With a link, the address that others are told is that of the link.
func (p *process) writeDirectorySettings(zone string, seeds []string, founding, link bool) error {
	fleet := "fleet: \"" + p.s.address(p.host, fleetPort) + "\"\n"
	if link {
		fleet = fmt.Sprintf("fleet: %q\nfleetAddress: %q\n", p.s.address(p.host, ownFleetPort), p.s.address(p.host, fleetPort))
	}
	return os.WriteFile(p.settings, []byte(fmt.Sprintf("name: %q\ndataCentre: %q\noperations: %q\n%sadmin: %q\ndata: %q\nseeds: [%s]\nfounding: %t\ntoleratedLosses: 1\nmemory: 160\n",
		p.name, zone, p.s.address(p.host, operationsPort), fleet, p.s.address(p.host, adminPort), p.data, quoted(seeds), founding)), 0o600)
}

// writeRouterSettings fills in deploy/router.yaml.
func (p *process) writeRouterSettings(zone string, seeds []string) error {
	return os.WriteFile(p.settings, []byte(fmt.Sprintf("name: %q\ndataCentre: %q\nclients: %q\nready: %q\nadmin: %q\nhandoff: %q\ndirectoryPort: \"%d\"\nseeds: [%s]\ngrace: 8s\nmemory: 24\nbounds:\n  retryRatio: 0.2\n  retrySlack: 54\n  retryWindow: 10s\n  coldFactor: 1.5\n  coldSlack: 5\n  keyTime: 5000ms\n",
		p.name, zone, p.s.address(p.host, clientsPort), p.s.address(p.host, readyPort), p.s.address(p.host, adminPort), p.s.address(p.host, handoffPort), fleetPort, quoted(seeds))), 0o600)
}

func zone(i int) string { return "centro-" + string(rune('a'+i)) }

// coreLinkMbps is the network link of a core machine.
const coreLinkMbps = 6

// seeds returns the addresses of the three directory processes.
func (s *stage) seeds() (out []string) {
	for i := range 3 {
		out = append(out, s.address(1+i, operationsPort))
	}
	return out
}

// frontName is the name of the router.
const frontName = "front-centro-a"

// startFleet starts three directory processes, one in each zone, and a router. It returns the processes, the
// router's address for requesters, and the addresses for operators and servers. With links, other machines
// reach the directory processes through links of their rate.
func (s *stage) startFleet(links bool) (cores []*process, router string, nodes []string, err error) {
	nodes = s.seeds()
	for i := range 3 {
		if links {
			l, err := s.newLink(s.address(1+i, fleetPort), s.address(1+i, ownFleetPort), coreLinkMbps)
			if err != nil {
				return nil, "", nil, err
			}
			s.links = append(s.links, l)
		}
		p := s.newProcess("core-"+zone(i), "directory", 1+i)
		if err := p.writeDirectorySettings(zone(i), nodes, true, links); err != nil {
			return nil, "", nil, err
		}
		if err := p.start(); err != nil {
			return nil, "", nil, err
		}
		cores = append(cores, p)
	}
	front := s.newProcess(frontName, "router", 4)
	if err := front.writeRouterSettings(zone(0), nodes); err != nil {
		return nil, "", nil, err
	}
	return cores, s.address(4, clientsPort), nodes, front.start()
}

// pidOf returns the process id of a process by its name.
func (s *stage) pidOf(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if p.name == name && p.cmd != nil {
			return p.cmd.Process.Pid
		}
	}
	return 0
}
