package dispatch

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/dghubble/sling"
)

const backendCallTimeout = 2 * time.Second

// AttemptState is the state of an attempt as reported by a backend server.
type AttemptState string

// The states that a server can report.
const (
	AttemptUnknown   AttemptState = "unknown-attempt"
	AttemptRunning   AttemptState = "running"
	AttemptCompleted AttemptState = "completed"
	AttemptFailed    AttemptState = "failed"
	// attemptStateUnavailable means that the server could not be queried.
	attemptStateUnavailable AttemptState = ""
)

type attemptStateResponse struct {
	State AttemptState `json:"state"`
}

// backendClient makes the auxiliary calls to backend servers: cancelling streams
// and querying attempts.
type backendClient struct {
	client *http.Client
}

func newBackendClient(t http.RoundTripper) *backendClient {
	return &backendClient{client: &http.Client{
		Transport:     t,
		Timeout:       backendCallTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

func (s *backendClient) base(address string) *sling.Sling {
	return sling.New().Client(s.client).Base("http://" + address)
}

// cancelStream asks the server to end a run whose stream is no longer read. It
// reports whether the server has done so.
func (s *backendClient) cancelStream(address, stream string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), backendCallTimeout)
	defer cancel()
	req, err := s.base(address).Delete("/v1/streams/" + url.PathEscape(stream)).Request()
	if err != nil {
		return false
	}
	resp, err := s.client.Do(req.WithContext(ctx))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2 || resp.StatusCode == http.StatusGone
}

// attemptState queries the server for the state of an attempt. ok is false if
// there was no response.
func (s *backendClient) attemptState(address, attemptID string) (state AttemptState, ok bool) {
	req, err := s.base(address).Get("/v1/attempts/" + url.PathEscape(attemptID)).Request()
	if err != nil {
		return attemptStateUnavailable, false
	}
	var body attemptStateResponse
	resp, err := s.base(address).Do(req, &body, nil)
	if resp == nil {
		return attemptStateUnavailable, false
	}
	if err != nil || resp.StatusCode != http.StatusOK {
		return attemptStateUnavailable, true
	}
	return body.State, true
}
