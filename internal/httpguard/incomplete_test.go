package httpguard

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"testing"
	"time"
)

// serveUntilKilled is set for the process that TestAKilledServerEndsNoResponse kills.
const serveUntilKilled = "HTTPGUARD_SERVE_UNTIL_KILLED"

// Guards against a response that ends with its connection and looks whole because the server's process
// was killed: the system closes the connection for it.
func TestAKilledServerEndsNoResponse(t *testing.T) {
	if os.Getenv(serveUntilKilled) != "" {
		serveHalfResponses()
		return
	}
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		server := exec.Command(os.Args[0], "-test.run=^TestAKilledServerEndsNoResponse$")
		server.Env = append(os.Environ(), serveUntilKilled+"=1")
		out, err := server.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := server.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = server.Process.Kill() })
		var address string
		if _, err := fmt.Fscanln(out, &address); err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		fmt.Fprintf(c, "GET / %s\r\nHost: h\r\n\r\n", proto)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		half := make([]byte, len("half"))
		if _, err := io.ReadFull(resp.Body, half); err != nil {
			t.Fatal(err)
		}
		if err := server.Process.Kill(); err != nil {
			t.Fatal(err)
		}
		if rest, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("%s: the response of a killed server ended as whole after %q", proto, rest)
		}
		_ = c.Close()
		_ = server.Wait()
	}
}

// serveHalfResponses serves responses that do not end.
func serveHalfResponses() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(l.Addr())
	server := &http.Server{ConnState: ConnState, ConnContext: ConnContext, Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		select {}
	}))}
	none := func() time.Duration { return 0 }
	panic(server.Serve(&Listener{Listener: l, IdleTimeout: none, HeaderTimeout: none}))
}
