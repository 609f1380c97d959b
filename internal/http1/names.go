package http1

// Methods and status codes, named as in net/http. The proxy does not import net/http, which would add the memory of TLS
// and HTTP/2 to each proxy.
const (
	MethodConnect = "CONNECT"
	MethodGet     = "GET"
	MethodHead    = "HEAD"
	MethodPost    = "POST"
	MethodTrace   = "TRACE"

	StatusContinue              = 100
	StatusOK                    = 200
	StatusNoContent             = 204
	StatusNotModified           = 304
	StatusBadRequest            = 400
	StatusNotFound              = 404
	StatusRequestTimeout        = 408
	StatusConflict              = 409
	StatusRequestEntityTooLarge = 413
	StatusTooManyRequests       = 429
	StatusNotImplemented        = 501
	StatusBadGateway            = 502
	StatusServiceUnavailable    = 503
)
