package trace

import "time"

// Length is a log-normal distribution of lengths in tokens.
type Length struct {
	Median float64
	// Sigma is the standard deviation of the logarithm; 0 gives the median always.
	Sigma float64
	Max   int
}

// Profile says what a trace is like.
type Profile struct {
	Name string
	// Duration is the time from the first request to the last.
	Duration time.Duration
	// Rate is the mean number of requests a second.
	Rate float64
	// Workspaces, largest first; Skew is the exponent by which their sizes fall.
	Workspaces []string
	Skew       float64
	// Chats is how many chats there are at most.
	Chats int
	// NewChat is the part of model calls that open a new chat.
	NewChat float64
	// MinPause is the least time from a chat's request to its next.
	MinPause time.Duration
	// RecentChats: a return picks one of that many chats that were used last, mostly.
	RecentChats int
	// System, Question and Output are the lengths of a workspace's prompt, a
	// caller's message and an answer.
	System, Question, Output Length
	// MaxMessages ends a chat.
	MaxMessages int
	// ModelPart and LookupPart are parts of all requests; the rest are calls that may not be repeated.
	ModelPart, LookupPart float64
	// StreamPart is the part of model calls that stream.
	StreamPart float64
	// ResendPart is the part of the calls that may not be repeated that are sent again.
	ResendPart  float64
	ResendAfter time.Duration

	ModelPath   string
	LookupPaths []string
	OncePaths   []string
}

// Profiles returns the profiles by the name of the fleet.
func Profiles() map[string]Profile {
	base := Profile{
		Duration:    24 * time.Second,
		Rate:        70,
		Skew:        1.1,
		Chats:       2000,
		NewChat:     0.15,
		MinPause:    1500 * time.Millisecond,
		RecentChats: 400,
		System:      Length{Median: 256, Sigma: 0.4, Max: 1024},
		Question:    Length{Median: 40, Sigma: 0.8, Max: 400},
		Output:      Length{Median: 40, Sigma: 0.7, Max: 250},
		MaxMessages: 15,
		StreamPart:  0.8,
		ResendPart:  0.3,
		ResendAfter: 1500 * time.Millisecond,
		ModelPath:   "/v1/chat/completions",
	}
	maracas := base
	maracas.Name = "maracas"
	maracas.Workspaces = []string{
		"arima-orienteers", "maracas-valley", "northern-range", "blanchisseuse", "chaguaramas",
		"diego-martin", "lopinot", "santa-cruz", "caura-course-planners", "tacarigua-juniors",
	}
	maracas.ModelPart, maracas.LookupPart = 0.7, 0.2
	maracas.LookupPaths = []string{"/v1/entries/start-times?runner="}
	maracas.OncePaths = []string{"/v1/entries/confirm"}

	brinco := base
	brinco.Name = "brinco"
	brinco.Rate = 60
	brinco.Workspaces = []string{
		"brinco-polanco", "brinco-satelite", "brinco-toluca", "brinco-coyoacan", "brinco-cuernavaca",
		"brinco-interlomas", "brinco-lindavista", "brinco-pachuca", "brinco-puebla", "brinco-queretaro",
	}
	brinco.ModelPart, brinco.LookupPart = 0.6, 0.2
	brinco.LookupPaths = []string{"/v1/sessions/open?park="}
	brinco.OncePaths = []string{"/v1/bookings", "/v1/payments"}
	return map[string]Profile{maracas.Name: maracas, brinco.Name: brinco}
}
