package httpheader

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

func TestSizeCountsWhatWasSent(t *testing.T) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /v1/x?y=z HTTP/1.1\r\nHost: a.example:80\r\nX-A: 1\r\nX-A: 22\r\nX-Long: " + strings.Repeat("v", 5000) + "\r\n\r\n",
	} {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			t.Fatal(err)
		}
		if got := RequestHeaderSize(r); got != len(text) {
			t.Errorf("size %d of %d bytes: %.40q", got, len(text), text)
		}
	}
}
