// Requests and responses, apart from their transport.

#include <boost/beast/core/string.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include "kernel/http.h"

namespace hemlockward::kernel {

namespace beast = boost::beast;

namespace {

std::string_view FindHeader(const std::vector<HttpHeader>& headers,
                            std::string_view name) {
  for (const HttpHeader& it : headers) {
    if (beast::iequals(it.name, name)) return it.value;
  }
  return {};
}

}  // namespace

std::string_view HttpRequest::Header(std::string_view name) const {
  return FindHeader(headers, name);
}

std::string_view HttpResponse::Header(std::string_view name) const {
  return FindHeader(headers, name);
}

std::string_view HttpRequest::Path() const {
  const std::string_view whole = target;
  return whole.substr(0, whole.find('?'));
}

std::string HttpRequest::Query(std::string_view name) const {
  const auto url = boost::urls::parse_origin_form(target);
  if (!url) return {};
  const auto params = url->params();
  const auto it = params.find(name);
  return it == params.end() ? std::string() : std::string((*it).value);
}

HttpResponse JsonResponse(int status, std::string json) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(json);
  response.With("Content-Type", "application/json");
  return response;
}

HttpResponse ProblemResponse(int status, std::string_view title,
                             std::string_view detail) {
  HttpResponse response;
  response.status = status;
  response.body = boost::json::serialize(boost::json::value{
      {"title", title}, {"status", status}, {"detail", detail}});
  response.With("Content-Type", "application/problem+json");
  return response;
}

std::vector<std::string_view> SplitPath(std::string_view path) {
  std::vector<std::string_view> parts;
  while (!path.empty()) {
    const std::size_t slash = path.find('/');
    const std::string_view part = path.substr(0, slash);
    if (!part.empty()) parts.push_back(part);
    if (slash == std::string_view::npos) break;
    path.remove_prefix(slash + 1);
  }
  return parts;
}

}  // namespace hemlockward::kernel
