#pragma once

#include <LibProxy/HttpBody.h>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Stagepost {

struct HttpField {
    std::string name;
    std::string value;
};

// The header fields of a message, in order. Field names are case-insensitive.
class HttpFields {
public:
    HttpFields() = default;
    HttpFields(std::initializer_list<HttpField> fields)
        : m_fields(fields)
    {
    }

    void add(std::string_view name, std::string_view value);
    // Replaces all fields of that name.
    void set(std::string_view name, std::string_view value);
    void remove(std::string_view name);

    // The value of the first field of that name, or an empty string.
    std::string_view find(std::string_view name) const;
    bool contains(std::string_view name) const;

    // Removes the fields that concern one connection only: those that the Connection fields name, unless they
    // are end-to-end, and the ones that always do. To be called on a message that was received, before
    // anything is added to it (RFC 9110, section 7.6.1).
    void removeHopByHop(std::span<std::string_view const> endToEnd = {});
    // Removes only the ones that always do.
    void removeFixedHopByHop();
    // Whether a Connection field names the field.
    bool isNamedByConnection(std::string_view name) const;

    auto begin() const { return m_fields.begin(); }
    auto end() const { return m_fields.end(); }

private:
    // The names that all Connection fields list.
    std::vector<std::string> connectionOptions() const;

    std::vector<HttpField> m_fields;
};

bool equalsIgnoringCase(std::string_view, std::string_view);

struct HttpRequest {
    std::string method { "GET" };
    std::string target { "/" };
    HttpFields headers;
    HttpBody body;

    // The target without its query.
    std::string_view path() const;
    // The value of a query parameter without percent-decoding, or an empty string.
    std::string_view queryParameter(std::string_view name) const;
};

struct HttpResponse {
    unsigned status { 200 };
    HttpFields headers;
    std::string body;
};

HttpResponse makeJsonResponse(unsigned status, std::string body);
HttpResponse makeTextResponse(unsigned status, std::string body);

}
