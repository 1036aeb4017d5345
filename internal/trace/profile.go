package trace

import "time"

// LengthDistribution is a log-normal distribution of lengths in tokens.
type LengthDistribution struct {
	Median float64
	// Sigma is the standard deviation of the logarithm; with 0, all lengths are Median.
	Sigma float64
	Max   int
}

// Profile holds the parameters of a generated trace.
type Profile struct {
	Name string
	// Duration is the length of the trace. No request but a resend is later.
	Duration time.Duration
	// Rate is the mean number of requests per second.
	Rate float64
	// Workspaces lists the workspaces, largest first. Skew is the exponent of the power
	// law by which their sizes decrease.
	Workspaces []string
	Skew       float64
	// MaxNewChats is the number of chats after which NewChatFraction opens no more. A
	// chat that replaces a paused or ended one is opened regardless.
	MaxNewChats int
	// NewChatFraction is the fraction of model calls that open a new chat.
	NewChatFraction float64
	// MinPause is the minimum time between two requests of a chat.
	MinPause time.Duration
	// RecentChats is the number of most recently used chats from which most continued
	// chats are picked, see recentReturnFraction.
	RecentChats int
	// SystemPrompt, Question and Output are the length distributions of the system
	// prompts of workspaces, of callers' messages and of responses.
	SystemPrompt, Question, Output LengthDistribution
	// MaxMessages is the number of messages after which a chat is not continued.
	MaxMessages int
	// ModelFraction and LookupFraction are fractions of all requests. The rest are calls
	// that must not be repeated.
	ModelFraction, LookupFraction float64
	// StreamFraction is the fraction of model calls that stream their response.
	StreamFraction float64
	// ResendFraction is the fraction of the calls that must not be repeated which are
	// sent again with the same key, at most MaxResendDelay later.
	ResendFraction float64
	MaxResendDelay time.Duration

	ModelPath   string
	LookupPaths []string
	OncePaths   []string
}

// Profiles returns the predefined profiles, by fleet name.
func Profiles() map[string]Profile {
	base := Profile{
		Duration:        24 * time.Second,
		Rate:            70,
		Skew:            1.1,
		MaxNewChats:     2000,
		NewChatFraction: 0.15,
		MinPause:        1500 * time.Millisecond,
		RecentChats:     400,
		SystemPrompt:    LengthDistribution{Median: 256, Sigma: 0.4, Max: 1024},
		Question:        LengthDistribution{Median: 40, Sigma: 0.8, Max: 400},
		Output:          LengthDistribution{Median: 40, Sigma: 0.7, Max: 250},
		MaxMessages:     15,
		StreamFraction:  0.8,
		ResendFraction:  0.3,
		MaxResendDelay:  1500 * time.Millisecond,
		ModelPath:       "/v1/chat/completions",
	}
	maracas := base
	maracas.Name = "maracas"
	maracas.Workspaces = []string{
		"arima-orienteers", "maracas-valley", "northern-range", "blanchisseuse", "chaguaramas",
		"diego-martin", "lopinot", "santa-cruz", "caura-course-planners", "tacarigua-juniors",
	}
	maracas.ModelFraction, maracas.LookupFraction = 0.7, 0.2
	maracas.LookupPaths = []string{"/v1/entries/start-times?runner="}
	maracas.OncePaths = []string{"/v1/entries/confirm"}

	brinco := base
	brinco.Name = "brinco"
	brinco.Rate = 60
	brinco.Workspaces = []string{
		"brinco-polanco", "brinco-satelite", "brinco-toluca", "brinco-coyoacan", "brinco-cuernavaca",
		"brinco-interlomas", "brinco-lindavista", "brinco-pachuca", "brinco-puebla", "brinco-queretaro",
	}
	brinco.ModelFraction, brinco.LookupFraction = 0.6, 0.2
	brinco.LookupPaths = []string{"/v1/sessions/open?park="}
	brinco.OncePaths = []string{"/v1/bookings", "/v1/payments"}
	return map[string]Profile{maracas.Name: maracas, brinco.Name: brinco}
}
