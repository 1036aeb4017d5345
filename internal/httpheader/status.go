package httpheader

// IsFinalStatus reports whether HTTP has responses of the status that end an exchange. Others are read by net/http
// as well, and some are no status to its ResponseWriter.
func IsFinalStatus(status int) bool { return 200 <= status && status <= 599 }
