package keys

import (
	"context"
	"crypto/tls"
	"os"
	"path/filepath"
	"testing"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// newAuthority creates a certificate authority and returns a function that issues
// certificates.
func newAuthority(t *testing.T) func(role, name string) settings.TLS {
	t.Helper()
	dir := t.TempDir()
	if err := CreateAuthority(dir, time.Hour); err != nil {
		t.Fatal(err)
	}
	return func(role, name string) settings.TLS {
		cert, key, err := IssueCertificate(dir, filepath.Join(dir, "issued"), role, name, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		return settings.TLS{CA: filepath.Join(dir, CACertFile), Cert: cert, Key: key}
	}
}

// identityServer responds with the authenticated identity of the caller.
type identityServer struct {
	controlpb.DRPCControlUnimplementedServer
}

func (*identityServer) Status(ctx context.Context, _ *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	name, role, ok := PeerIdentity(ctx)
	if !ok {
		name = "nobody"
	}
	return &controlpb.StatusResponse{Leader: role + "/" + name}, nil
}

func (*identityServer) Apply(context.Context, *controlpb.ApplyRequest) (*controlpb.ApplyResponse, error) {
	return &controlpb.ApplyResponse{}, nil
}

func serve(t *testing.T, conf *tls.Config) string {
	t.Helper()
	l, err := rpc.Listen("127.0.0.1:0", conf)
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := controlpb.DRPCRegisterControl(mux, &identityServer{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = rpc.Serve(ctx, l, RequireRole(mux, FleetRoles, conf != nil)) }()
	t.Cleanup(func() { cancel(); <-done })
	return l.Addr().String()
}

// callStatusAndApply calls Status and Apply over a new connection.
func callStatusAndApply(t *testing.T, addr string, conf *tls.Config) (who string, statusErr, applyErr error) {
	t.Helper()
	d := rpc.NewDialer(conf)
	defer d.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c := controlpb.NewDRPCControlClient(d.Conn(ctx, addr))
	res, statusErr := c.Status(ctx, &controlpb.StatusRequest{})
	_, applyErr = c.Apply(ctx, &controlpb.ApplyRequest{})
	return res.GetLeader(), statusErr, applyErr
}

func must(t *testing.T) func(c *tls.Config, err error) *tls.Config {
	return func(c *tls.Config, err error) *tls.Config {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
}

func TestRolesAreProvedAndCheckedPerCall(t *testing.T) {
	issue := newAuthority(t)
	addr := serve(t, must(t)(FleetServerConfig(issue(RoleControl, "c1"))))
	for _, tc := range []struct {
		role  string
		apply errkind.Kind
	}{{RoleOperator, ""}, {RoleRouter, errkind.Unauthorised}, {RoleControl, errkind.Unauthorised}} {
		who, err, applyErr := callStatusAndApply(t, addr, must(t)(FleetClientConfig(issue(tc.role, "n-"+tc.role))))
		if who != tc.role+"/n-"+tc.role || err != nil {
			t.Errorf("%s: server saw identity %q, error %v", tc.role, who, err)
		}
		if errkind.Of(applyErr) != tc.apply {
			t.Errorf("%s: Apply gave %v, want kind %q", tc.role, applyErr, tc.apply)
		}
	}
}

func TestUntrustedPeersAreRefused(t *testing.T) {
	issue, other := newAuthority(t), newAuthority(t)
	addr := serve(t, must(t)(FleetServerConfig(issue(RoleControl, "c1"))))
	mixed := other(RoleOperator, "intruder")
	mixed.CA = issue(RoleRouter, "r1").CA
	for name, conf := range map[string]*tls.Config{
		"no TLS":          nil,
		"other authority": must(t)(FleetClientConfig(mixed)),
	} {
		if _, err, _ := callStatusAndApply(t, addr, conf); err == nil {
			t.Errorf("%s: the call got a response", name)
		}
	}
	if _, err, _ := callStatusAndApply(t, addr, must(t)(FleetClientConfig(mixed))); !rpc.IsTLSAlert(err) {
		t.Errorf("call with a rejected certificate: error %v, want a TLS alert", err)
	}
	// The client also rejects a server with a certificate of another authority or
	// of an operator.
	client := must(t)(FleetClientConfig(issue(RoleRouter, "r2")))
	for name, id := range map[string]settings.TLS{"stranger": other(RoleControl, "c9"), "operator": issue(RoleOperator, "ana")} {
		if _, err, _ := callStatusAndApply(t, serve(t, must(t)(FleetServerConfig(id))), client); !errkind.Is(err, errkind.Unauthenticated) {
			t.Errorf("%s as server: error %v, want kind unauthenticated", name, err)
		}
	}
}

// Guards against a call that reports a bare EOF for a rejected certificate. The server's
// alert arrives before the call's first write.
func TestALateWriteReportsTheRejectedCertificate(t *testing.T) {
	issue, other := newAuthority(t), newAuthority(t)
	addr := serve(t, must(t)(FleetServerConfig(issue(RoleControl, "c1"))))
	mixed := other(RoleOperator, "intruder")
	mixed.CA = issue(RoleRouter, "r1").CA
	d := rpc.NewDialer(must(t)(FleetClientConfig(mixed)))
	defer d.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := d.DialUnpooled(ctx, addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	stream, err := conn.NewStream(ctx, "/controlpb.Control/Status", nil)
	if err == nil {
		<-conn.Closed()
		err = stream.MsgSend(&controlpb.StatusRequest{}, emptyEncoding{})
	}
	if err == nil { // The message may only have been buffered.
		err = stream.MsgRecv(&controlpb.StatusResponse{}, emptyEncoding{})
	}
	if !rpc.IsTLSAlert(err) {
		t.Errorf("error %v, want a TLS alert", err)
	}
}

// emptyEncoding encodes each message as no bytes.
type emptyEncoding struct{}

func (emptyEncoding) Marshal(drpc.Message) ([]byte, error) { return nil, nil }
func (emptyEncoding) Unmarshal([]byte, drpc.Message) error { return nil }

func TestCertificateFilesAreReadAgain(t *testing.T) {
	issue := newAuthority(t)
	id := issue(RoleControl, "c1")
	f, err := newMutualTLSReloader(id)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	f.now = func() time.Time { return now }
	before := f.current().cert.Leaf.SerialNumber

	issue(RoleControl, "c1")
	later := time.Now().Add(time.Minute)
	for _, p := range []string{id.Cert, id.Key} {
		if err := os.Chtimes(p, later, later); err != nil {
			t.Fatal(err)
		}
	}
	now = now.Add(2 * recheckInterval)
	renewed := f.current().cert.Leaf.SerialNumber
	if renewed.Cmp(before) == 0 {
		t.Error("the renewed certificate was not loaded")
	}
	if err := os.WriteFile(id.Key, []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	now = now.Add(2 * recheckInterval)
	if f.current().cert.Leaf.SerialNumber.Cmp(renewed) != 0 {
		t.Error("a certificate and key that do not match replaced the credentials")
	}
}

func TestIncompleteIdentityIsRefused(t *testing.T) {
	if c, err := FleetServerConfig(settings.TLS{}); c != nil || err != nil {
		t.Errorf("without files: config %v, error %v, want nil and nil", c, err)
	}
	if _, err := FleetClientConfig(settings.TLS{CA: "ca.pem"}); !errkind.Is(err, errkind.InvalidSettings) {
		t.Errorf("with the CA file only: error %v, want kind invalid-settings", err)
	}
}

// TestEveryCallHasItsRoles guards against a method that is missing in FleetRoles:
// all calls of it would be denied.
func TestEveryCallHasItsRoles(t *testing.T) {
	type description interface {
		NumMethods() int
	}
	check := func(d description, name func(int) string) {
		for i := range d.NumMethods() {
			if len(FleetRoles.rolesOf(name(i))) == 0 {
				t.Errorf("%s has no roles", name(i))
			}
		}
	}
	check(controlpb.DRPCControlDescription{}, func(i int) string {
		m, _, _, _, _ := controlpb.DRPCControlDescription{}.Method(i)
		return m
	})
	check(controlpb.DRPCDistributionDescription{}, func(i int) string {
		m, _, _, _, _ := controlpb.DRPCDistributionDescription{}.Method(i)
		return m
	})
	check(grantpb.DRPCGrantorDescription{}, func(i int) string {
		m, _, _, _, _ := grantpb.DRPCGrantorDescription{}.Method(i)
		return m
	})
	check(grantpb.DRPCLeaseVoterDescription{}, func(i int) string {
		m, _, _, _, _ := grantpb.DRPCLeaseVoterDescription{}.Method(i)
		return m
	})
}
