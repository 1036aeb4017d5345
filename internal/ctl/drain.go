package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// maxDrainAttempts limits the attempts of a drain that fails with a revision
// conflict. It can be retried on the new revision, since it sets a single field
// and so cannot contradict another operator's change.
const maxDrainAttempts = 5

func (a *app) drain() error   { return a.setState("drain", config.StateOut) }
func (a *app) undrain() error { return a.setState("undrain", config.StateActive) }

// setState changes the state of the data centre or backend server named on the
// command line.
func (a *app) setState(action string, state config.State) error {
	kind, name, err := parseTarget(a.target)
	if err != nil {
		return err
	}
	if a.local != "" {
		return a.override(kind, name, state)
	}
	for attempt := 1; ; attempt++ {
		err := a.declareState(action, kind, name, state)
		if attempt == maxDrainAttempts || !errkind.Is(err, errkind.RevisionConflict) {
			return err
		}
	}
}

// parseTarget parses dc/NAME or server/NAME.
func parseTarget(target string) (kind, name string, err error) {
	prefix, name, ok := strings.Cut(target, "/")
	switch {
	case ok && name != "" && prefix == "dc":
		return config.KindDataCentre, name, nil
	case ok && name != "" && prefix == "server":
		return config.KindBackendServer, name, nil
	}
	return "", "", errkind.New(errkind.Usage, "invalid target %q; use dc/NAME or server/NAME", target)
}

// declareState changes the state in the declarations of the control group.
func (a *app) declareState(action, kind, name string, state config.State) error {
	base, err := a.newestConfig()
	if err != nil {
		return err
	}
	next, err := a.withState(base, kind, name, state)
	if err != nil {
		return err
	}
	req, err := a.changeRequest(base, next, action)
	if err != nil {
		return err
	}
	if req == nil {
		return a.reportUnchanged(base)
	}
	return a.submit(base, req)
}

// withState returns base with the object's state set. An undeclared server is
// declared with the service and data centre from the flags.
func (a *app) withState(base *config.Set, kind, name string, state config.State) (*config.Set, error) {
	if kind == config.KindDataCentre {
		d, ok := base.DataCentres[name]
		if !ok {
			return nil, errkind.New(errkind.NotFound, "there is no data centre %q", name)
		}
		c := *d
		c.State = state
		return base.WithObjects(&c), nil
	}
	s, ok := base.BackendServers[name]
	if !ok {
		if a.service == "" || a.dataCentre == "" {
			return nil, errkind.New(errkind.NotFound, "backend server %q is not declared; give --service and --dc to declare it", name)
		}
		s = &config.BackendServer{Name: name, Service: a.service, DataCentre: a.dataCentre}
	}
	c := *s
	c.State = state
	return base.WithObjects(&c), nil
}

// override sets a local override at the grantor of a data centre that cannot
// reach control. It lasts until it is removed or until the same state is in force
// in the data centre by configuration.
func (a *app) override(kind, name string, state config.State) error {
	ctx, cancel := context.WithTimeout(a.ctx, a.timeout)
	defer cancel()
	prefix := map[string]string{config.KindDataCentre: "dataCentre/", config.KindBackendServer: "backendServer/"}
	req := &grantpb.OverrideRequest{Target: prefix[kind] + name, Out: state == config.StateOut, Reason: a.comment}
	addr, err := a.grantorAddress(ctx)
	if err != nil {
		return err
	}
	conn := a.client.dialer.Conn(ctx, addr)
	defer conn.Close()
	if _, err := grantpb.NewDRPCGrantorClient(conn).Override(ctx, req); err != nil {
		return err
	}
	a.printResult(map[string]any{"target": req.Target, "out": req.Out, "grantor": addr}, func(w io.Writer) {
		fmt.Fprintf(w, "%s is %s at the grantor %s; declare the same once control can be reached\n", a.target, state, addr)
	})
	return nil
}

// grantorAddress returns the address of the grantor according to the router at
// --local: the router's own address if it holds the lease, else the holder's.
func (a *app) grantorAddress(ctx context.Context) (string, error) {
	st, err := a.grantorStatus(ctx)
	if err != nil {
		return "", err
	}
	if st.HoldsLease {
		return a.local, nil
	}
	if st.HolderAddress == "" {
		return "", errkind.New(errkind.NoGrantor, "router %s knows no grantor of its data centre; try another router", a.local)
	}
	return st.HolderAddress, nil
}

func (a *app) grantorStatus(ctx context.Context) (*grantpb.GrantorStatusResponse, error) {
	conn := a.client.dialer.Conn(ctx, a.local)
	defer conn.Close()
	return grantpb.NewDRPCGrantorClient(conn).GrantorStatus(ctx, &grantpb.GrantorStatusRequest{})
}

// grantor prints the status of a data centre's grantor.
func (a *app) grantor() error {
	ctx, cancel := context.WithTimeout(a.ctx, a.timeout)
	defer cancel()
	st, err := a.grantorStatus(ctx)
	if err != nil {
		return err
	}
	a.printResult(st, func(w io.Writer) { printGrantor(w, st) })
	return nil
}
