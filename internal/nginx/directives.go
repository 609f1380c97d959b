package nginx

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// blocks is a set of the blocks that a directive is allowed in, as a bit set.
type blocks uint8

const (
	inMain blocks = 1 << iota
	inHTTP
	inServer
	inLocation
	inUpstream
	inIf
)

const inAll = inHTTP | inServer | inLocation

func (b blocks) String() string {
	var list []string
	for i, name := range []string{"main", "http", "server", "location", "upstream", "if"} {
		if b&(1<<i) != 0 {
			list = append(list, name)
		}
	}
	return strings.Join(list, ", ")
}

// directive is the usual verdict on a directive. Unsupported arguments may make the verdict of one occurrence worse.
type directive struct {
	in    blocks
	grade Grade
	text  string
}

const (
	usesOwn  = "lockloom uses its own"
	noFiles  = "lockloom serves no files: forward to a pool of file servers"
	noTLS    = "the HTTP listener has no TLS: terminate TLS in front of it"
	noFields = "response header fields are neither added nor removed: have the server do it"
	noBuffer = "bodies are streamed in both directions, at the speed of the slower side"
)

// directives holds the known directives by name. Table formats them for docs/operators/nginx.md.
var directives = map[string]directive{
	"http":                 {inMain, Carried, ""},
	"events":               {inMain, Differs, usesOwn + " limits on connections"},
	"user":                 {inMain, Differs, "left to the service manager that starts lockloom"},
	"worker_processes":     {inMain, Differs, usesOwn + " setting: the number of cores is set at startup"},
	"worker_rlimit_nofile": {inMain, Differs, usesOwn + " setting: the number of file descriptors is set at startup"},
	"worker_connections":   {inMain, Differs, usesOwn + " setting: the number of file descriptors is set at startup"},
	"pid":                  {inMain, Differs, "left to the service manager that starts lockloom"},
	"daemon":               {inMain, Differs, "left to the service manager that starts lockloom"},
	"error_log":            {inMain | inAll, Differs, "lockloom logs to standard error"},
	"access_log":           {inAll, Differs, "no log line per request: use counters and captures"},
	"log_format":           {inHTTP, Differs, "no log line per request"},
	"upstream":             {inHTTP, Carried, "becomes a pool"},
	"server": {
		inHTTP | inUpstream, Carried, "becomes the routes of its names; in an upstream, a server of the pool",
	},
	"listen": {
		inServer, Carried, "without ssl, http2 or Unix sockets; all servers must listen on the same addresses",
	},
	"server_name": {inServer, Carried, "exact names and wildcards; regular expressions are refused"},
	"location": {
		inServer | inLocation, Carried, "=, ^~, ~, ~* and prefix locations, also nested; named locations are refused",
	},
	"proxy_pass": {inLocation, Carried, "http:// to an upstream or a server, or to a pool chosen by map or split_clients"},
	"return":     {inServer | inLocation | inIf, Carried, "redirects and fixed responses"},
	"rewrite": {
		inLocation, Carried, "with the flag break; with redirect or permanent if the replacement ends with ?",
	},
	"if":             {inLocation, Carried, "only if ($request_method = M) { return N; }"},
	"map":            {inHTTP, Carried, "of a header field, a query parameter or the method, to choose a pool"},
	"split_clients":  {inHTTP, Carried, "by $remote_addr, to choose a pool"},
	"limit_req_zone": {inHTTP, Carried, "by client address or header field"},
	"limit_req": {
		inAll, Differs, "requests over the limit get 429 without delay, whatever limit_req_status says",
	},
	"limit_conn_zone":      {inHTTP, Carried, "by client address or header field"},
	"limit_conn":           {inAll, Differs, "limits the requests in flight; requests over the limit get 429"},
	"limit_req_status":     {inAll, Differs, "the status is always 429"},
	"limit_conn_status":    {inAll, Differs, "the status is always 429"},
	"limit_req_log_level":  {inAll, Differs, usesOwn + " logging"},
	"limit_conn_log_level": {inAll, Differs, usesOwn + " logging"},
	"least_conn":           {inUpstream, Differs, "servers are chosen by score, within their concurrency limits"},
	"random":               {inUpstream, Differs, "servers are chosen by score, within their concurrency limits"},
	"keepalive":            {inUpstream, Differs, "idle connections are kept according to their cost"},
	"keepalive_requests":   {inAll | inUpstream, Differs, usesOwn + " limits"},
	"keepalive_timeout":    {inAll | inUpstream, Differs, usesOwn + " limits"},
	"keepalive_time":       {inAll | inUpstream, Differs, usesOwn + " limits"},
	"zone":                 {inUpstream, Differs, "lockloom is one process: there is no memory to share"},
	"hash": {
		inUpstream, Refused,
		"no affinity by key at the HTTP listener: store sessions outside the servers, or split by client address",
	},
	"ip_hash": {
		inUpstream, Refused, "no affinity by client address: store sessions outside the servers",
	},
	"sticky": {inUpstream, Refused, "no affinity of clients to servers"},
	"proxy_set_header": {
		inAll, Carried, "Host, Connection, X-Forwarded-For, -Proto and -Host as lockloom sets them; others are refused",
	},
	"proxy_http_version": {inAll, Differs, "always HTTP/1.1"},
	"proxy_redirect": {
		inAll, Refused, "Location is passed on unchanged: configure the server with its public name",
	},
	"proxy_connect_timeout": {inAll, Differs, "1 s unless the deployment sets another timeout"},
	"proxy_send_timeout":    {inAll, Differs, "the deadline of the request class applies instead"},
	"proxy_read_timeout": {
		inAll, Differs, "becomes the deadline of the request class: for the whole request, with all attempts and time queued",
	},
	"proxy_next_upstream": {
		inAll, Differs, "becomes a retry policy: what never ran or may run twice is retried, if the balancer decides so",
	},
	"proxy_next_upstream_tries":     {inAll, Carried, "becomes the maximum number of attempts of the retry policy"},
	"proxy_next_upstream_timeout":   {inAll, Differs, "the deadline of the request class applies instead"},
	"proxy_buffering":               {inAll, Differs, noBuffer},
	"proxy_request_buffering":       {inAll, Differs, noBuffer},
	"proxy_buffers":                 {inAll, Differs, noBuffer},
	"proxy_buffer_size":             {inAll, Differs, noBuffer},
	"proxy_busy_buffers_size":       {inAll, Differs, noBuffer},
	"proxy_max_temp_file_size":      {inAll, Differs, noBuffer},
	"proxy_hide_header":             {inAll, Refused, noFields},
	"proxy_pass_header":             {inAll, Refused, noFields},
	"proxy_cookie_path":             {inAll, Refused, noFields},
	"proxy_cookie_domain":           {inAll, Refused, noFields},
	"proxy_intercept_errors":        {inAll, Refused, "responses of servers are passed on unchanged"},
	"proxy_cache":                   {inAll, Refused, "lockloom does not cache: put a cache in front"},
	"proxy_cache_path":              {inHTTP, Refused, "lockloom does not cache: put a cache in front"},
	"proxy_cache_valid":             {inAll, Refused, "lockloom does not cache: put a cache in front"},
	"proxy_ssl_verify":              {inAll, Refused, "connections to servers do not use TLS"},
	"client_max_body_size":          {inAll, Refused, "bodies of any size are accepted: have the server limit them"},
	"client_body_timeout":           {inAll, Differs, "a minimum rate at which the body must arrive applies instead"},
	"client_header_timeout":         {inHTTP | inServer, Differs, "always 2.5 s"},
	"client_body_buffer_size":       {inAll, Differs, noBuffer},
	"client_header_buffer_size":     {inHTTP | inServer, Differs, "a request head has at most 64 KiB"},
	"large_client_header_buffers":   {inHTTP | inServer, Differs, "a request head has at most 64 KiB"},
	"send_timeout":                  {inAll, Differs, "always 30 s without a byte read by the client"},
	"lingering_close":               {inAll, Differs, usesOwn + " way of closing connections"},
	"reset_timedout_connection":     {inAll, Differs, usesOwn + " way of closing connections"},
	"sendfile":                      {inAll, Carried, "has no effect in lockloom"},
	"tcp_nopush":                    {inAll, Carried, "has no effect in lockloom"},
	"tcp_nodelay":                   {inAll, Carried, "has no effect in lockloom"},
	"server_tokens":                 {inAll, Carried, "lockloom sends no Server field of its own"},
	"server_names_hash_bucket_size": {inHTTP, Carried, "has no effect in lockloom"},
	"server_names_hash_max_size":    {inHTTP, Carried, "has no effect in lockloom"},
	"types_hash_max_size":           {inAll, Carried, "has no effect in lockloom"},
	"types_hash_bucket_size":        {inAll, Carried, "has no effect in lockloom"},
	"map_hash_bucket_size":          {inHTTP, Carried, "has no effect in lockloom"},
	"map_hash_max_size":             {inHTTP, Carried, "has no effect in lockloom"},
	"types":                         {inAll, Carried, "applies to files: has no effect in lockloom"},
	"default_type":                  {inAll, Carried, "the content type of fixed responses"},
	"merge_slashes":                 {inHTTP | inServer, Carried, "on, as always in lockloom; off is refused"},
	"gzip":                          {inAll, Differs, "responses are passed on as servers encode them"},
	"gzip_types":                    {inAll, Differs, "responses are passed on as servers encode them"},
	"gzip_vary":                     {inAll, Differs, "responses are passed on as servers encode them"},
	"gzip_min_length":               {inAll, Differs, "responses are passed on as servers encode them"},
	"gzip_proxied":                  {inAll, Differs, "responses are passed on as servers encode them"},
	"gzip_comp_level":               {inAll, Differs, "responses are passed on as servers encode them"},
	"root":                          {inAll, Refused, noFiles},
	"alias":                         {inLocation, Refused, noFiles},
	"index":                         {inAll, Refused, noFiles},
	"autoindex":                     {inAll, Refused, noFiles},
	"try_files":                     {inServer | inLocation, Refused, noFiles},
	"expires":                       {inAll, Refused, noFields},
	"add_header":                    {inAll, Refused, noFields},
	"error_page":                    {inAll, Refused, "responses of servers and of lockloom itself are sent unchanged"},
	"internal":                      {inLocation, Refused, "there are no internal redirects: leave the location out"},
	"auth_basic":                    {inAll, Refused, "lockloom does not authenticate clients: have the server do it"},
	"auth_basic_user_file":          {inAll, Refused, "lockloom does not authenticate clients"},
	"auth_request":                  {inAll, Refused, "lockloom does not authenticate clients"},
	"allow":                         {inAll, Refused, "lockloom does not filter client addresses: use a firewall"},
	"deny":                          {inAll, Refused, "lockloom does not filter client addresses: use a firewall"},
	"satisfy":                       {inAll, Refused, "lockloom does not authenticate clients"},
	"limit_except":                  {inLocation, Refused, "write routes with methods instead"},
	"limit_rate":                    {inAll, Refused, "the rate of responses is not limited"},
	"set":                           {inServer | inLocation | inIf, Refused, "no variables: write the value instead"},
	"resolver":                      {inAll, Differs, "the system's resolver is used"},
	"fastcgi_pass":                  {inLocation, Refused, "FastCGI is not supported yet"},
	"fastcgi_param":                 {inAll, Refused, "FastCGI is not supported yet"},
	"uwsgi_pass":                    {inLocation, Refused, "the uwsgi protocol is not supported"},
	"scgi_pass":                     {inLocation, Refused, "SCGI is not supported"},
	"grpc_pass":                     {inLocation, Refused, "HTTP/2 is not supported yet"},
	"memcached_pass":                {inLocation, Refused, "the memcached protocol is not supported"},
	"mirror":                        {inAll, Refused, "a request goes to one server at a time"},
	"ssl_certificate":               {inHTTP | inServer, Refused, noTLS},
	"ssl_certificate_key":           {inHTTP | inServer, Refused, noTLS},
	"ssl_protocols":                 {inHTTP | inServer, Refused, noTLS},
	"ssl_ciphers":                   {inHTTP | inServer, Refused, noTLS},
	"http2":                         {inHTTP | inServer, Refused, "only HTTP/1.1 is supported"},
	"stream":                        {inMain, Refused, "only HTTP is supported"},
	"mail":                          {inMain, Refused, "only HTTP is supported"},
	"load_module":                   {inMain, Refused, "the effect of an nginx module is not known"},
}

// Table returns the known directives as a Markdown table, sorted by name.
func Table() string {
	var b strings.Builder
	b.WriteString("| directive | context | usual verdict | details |\n| --- | --- | --- | --- |\n")
	for _, name := range slices.Sorted(maps.Keys(directives)) {
		d := directives[name]
		text := strings.ReplaceAll(d.text, "|", "\\|")
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", name, d.in, d.grade, text)
	}
	return b.String()
}
