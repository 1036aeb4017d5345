package standin

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

const (
	leaveTime         = 10 * time.Second
	readHeaderTimeout = 5 * time.Second
)

// Process runs many servers with one ledger.
type Process struct {
	conf    Settings
	ledger  *Ledger
	log     hclog.Logger
	servers []*Server
	https   []*http.Server
	file    *os.File
}

// Start opens all listeners, or none, and serves them.
func Start(conf Settings, log hclog.Logger) (*Process, error) {
	specs, err := conf.Servers()
	if err != nil {
		return nil, err
	}
	p := &Process{conf: conf, log: log, ledger: NewLedger(nil)}
	if conf.LedgerFile != "" {
		if p.file, err = os.Create(conf.LedgerFile); err != nil {
			return nil, errkind.Wrap(err, errkind.InvalidSettings, "ledgerFile")
		}
		p.ledger = NewLedger(p.file)
	}
	listeners := make([]net.Listener, 0, len(specs)+1)
	for _, addr := range addresses(conf, specs) {
		l, err := rpc.Listen(addr, nil)
		if err != nil {
			closeAll(listeners)
			return nil, err
		}
		listeners = append(listeners, l)
	}
	for i, spec := range specs {
		spec.Address = listeners[i].Addr().String()
		s := NewServer(spec, p.ledger)
		p.servers = append(p.servers, s)
		p.serve(listeners[i], s.Handler())
	}
	if len(listeners) > len(specs) {
		p.serve(listeners[len(specs)], p.admin())
	}
	return p, nil
}

func addresses(conf Settings, specs []ServerConfig) []string {
	var out []string
	for _, s := range specs {
		out = append(out, s.Address)
	}
	if conf.Admin != "" {
		out = append(out, conf.Admin)
	}
	return out
}

func closeAll(ls []net.Listener) {
	for _, l := range ls {
		_ = l.Close()
	}
}

func (p *Process) serve(l net.Listener, h http.Handler) {
	hs := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: p.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})}
	p.https = append(p.https, hs)
	go func() { _ = hs.Serve(l) }()
}

// admin serves the whole ledger and answers health probes.
func (p *Process) admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { _ = p.ledger.WriteTo(w, "") })
	return mux
}

// Servers returns the running servers.
func (p *Process) Servers() []*Server { return p.servers }

// Address returns where the server listens.
func (s *Server) Address() string { return s.conf.Address }

// Ledger returns the ledger of the process.
func (p *Process) Ledger() *Ledger { return p.ledger }

// Run announces the servers until ctx ends, then lets them leave: it says
// goodbye, waits a bounded time for what runs, and closes.
func (p *Process) Run(ctx context.Context) {
	var wg sync.WaitGroup
	announcers := make([]*Announcer, len(p.servers))
	for i, s := range p.servers {
		announcers[i] = NewAnnouncer(s, p.conf, i, p.log)
		wg.Go(func() { announcers[i].Run(ctx) })
	}
	p.log.Info("listening", "what", "stand-ins", "servers", len(p.servers), "first", p.first(), "admin", p.conf.Admin)
	<-ctx.Done()
	wg.Wait()
	p.leave(announcers)
	p.Close()
}

func (p *Process) first() string {
	if len(p.servers) == 0 {
		return ""
	}
	return p.servers[0].Address()
}

func (p *Process) leave(announcers []*Announcer) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i, s := range p.servers {
			s.Leave()
			announcers[i].Announce(ctx)
		}
		for _, s := range p.servers {
			s.Wait()
		}
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Close ends all listeners and connections.
func (p *Process) Close() {
	for _, hs := range p.https {
		_ = hs.Close()
	}
	if p.file != nil {
		_ = p.file.Close()
	}
}
