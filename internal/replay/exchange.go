package replay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/standin"
)

// Headers between callers and routers.
const (
	headerOutcome   = "X-Kq-Outcome"
	headerErrorKind = "X-Kq-Error-Kind"
)

// request holds the parameters of one exchange.
type request struct {
	record   int
	req      standin.Request
	key      string
	wantBody []byte
	// resumeID, if set, is the request id of the stream to resume at offset.
	resumeID string
	offset   int
}

// reply is an exchange with the response body.
type reply struct {
	Exchange
	body []byte
}

// Client sends requests to routers over plain HTTP.
type Client struct {
	http *http.Client
}

const (
	dialTimeout         = 2 * time.Second
	maxIdleConnsPerHost = 64
)

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		DisableCompression:  true,
	}}}
}

// Send sends the request to the router and reads the response.
func (c *Client) Send(ctx context.Context, r Router, q request) reply {
	out := reply{Exchange: Exchange{Record: q.record, Router: r.Name, Sent: time.Now(), Offset: q.offset, Resumed: q.resumeID != ""}}
	resp, err := c.http.Do(newRequest(ctx, r, q))
	if err != nil {
		out.Ended = time.Now()
		out.Error = err.Error()
		out.Verdict = VerdictNone
		var op *net.OpError
		out.NotSent = errors.As(err, &op) && op.Op == "dial"
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	out.FirstByte = time.Now()
	out.Status = resp.StatusCode
	out.RequestID = resp.Header.Get(standin.HeaderRequestID)
	body, first, err := readBody(resp.Body)
	out.Ended = time.Now()
	out.body = body
	if !first.IsZero() {
		out.FirstByte = first
	}
	if err != nil {
		out.Error = err.Error()
	}
	out.classify(resp, q)
	return out
}

// newRequest builds the HTTP request. It clears GetBody, so that net/http does not
// retry the request by itself.
func newRequest(ctx context.Context, r Router, q request) *http.Request {
	method, target, body := q.req.Method, q.req.Target, io.Reader(bytes.NewReader(q.req.Body))
	if q.resumeID != "" {
		method, body = http.MethodGet, http.NoBody
		target = fmt.Sprintf("/v1/resume/%s?offset=%d", q.resumeID, q.offset)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.Address+target, body)
	if err != nil {
		panic(errors.Wrap(err, "trace record is not a valid HTTP request"))
	}
	req.GetBody = nil
	req.Header.Set(standin.HeaderWorkspace, q.req.Workspace)
	if method == http.MethodPost {
		req.Header.Set("Content-Type", "application/json")
	}
	if q.key != "" {
		req.Header.Set(standin.HeaderIdempotencyKey, q.key)
	}
	return req
}

// classify sets the fields that depend on the response. A complete response without
// an outcome header counts as completed.
func (r *reply) classify(resp *http.Response, q request) {
	r.Kind = errkind.Kind(resp.Header.Get(headerErrorKind))
	r.Outcome = errkind.Outcome(resp.Header.Get(headerOutcome))
	if t := resp.Trailer.Get(headerOutcome); t != "" {
		r.Outcome = errkind.Outcome(t)
	}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		r.RetryAfter = time.Duration(s * float64(time.Second))
	}
	if resp.StatusCode != http.StatusOK {
		r.Verdict = VerdictNone
		return
	}
	r.Verdict = Compare(q.wantBody[min(q.offset, len(q.wantBody)):], r.body, r.Error == "")
	if r.Verdict == VerdictComplete && r.Outcome == "" {
		r.Outcome = errkind.Completed
	}
	if r.Verdict != VerdictComplete && r.Error != "" {
		r.Outcome = "" // the transfer failed, so the outcome in the headers is void
	}
}

func readBody(r io.Reader) (body []byte, first time.Time, err error) {
	buf := make([]byte, 16<<10)
	for {
		n, err := r.Read(buf)
		if n > 0 && first.IsZero() {
			first = time.Now()
		}
		body = append(body, buf[:n]...)
		if errors.Is(err, io.EOF) {
			return body, first, nil
		}
		if err != nil {
			return body, first, err
		}
	}
}
