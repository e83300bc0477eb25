#ifndef CHIVERAIL_TESTS_MALFORMED_ANSWERS_H_
#define CHIVERAIL_TESTS_MALFORMED_ANSWERS_H_

#include <string>
#include <vector>

namespace chiverail {

// Status codes of three digits that HTTP does not define.
inline const std::vector<std::string> kUndefinedStatuses{"000", "001", "099", "600", "999"};

// What follows the fields of an answer whose body is "result", for each way to mark its end.
inline const std::vector<std::string> kFramedResults{
    "Content-Length: 6\r\n\r\nresult",
    "Transfer-Encoding: chunked\r\n\r\n6\r\nresult\r\n0\r\n\r\n",
    "\r\nresult",
};

// Field lines whose name is no token (RFC 9110, section 5.1). A line that begins with a blank is
// one of them only as the first: otherwise it continues the line before it (RFC 9112, section 5.2).
inline const std::vector<std::string> kMalformedFieldLines{
    "X-Odd Name: v",
    "X-Odd : v",
    "X-Odd\tName: v",
    "X-Odd\x01Name: v",
    "X-Odd\x7f: v",
    std::string("X-Odd\0Name: v", 13),
    "X-Odd\rName: v",
    "X-Odd(Name): v",
    "X-Odd",
    ": v",
    "Content-Length : 2",
    "Content Length: 2",
    "Content-Length\x01: 2",
    "Transfer-Encoding : chunked",
};

// Transfer codings other than chunked alone. The relay asks for none of them and can't decode them.
inline const std::vector<std::string> kUnsupportedCodings{
    "odd", "gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "chunked;odd=1", "",
};

// A body in chunks, and without them.
inline const std::vector<std::string> kCodedResults{
    "\r\n6\r\nresult\r\n0\r\n\r\n",
    "\r\nresult",
    "Content-Length: 6\r\n\r\nresult",
};

}  // namespace chiverail

#endif  // CHIVERAIL_TESTS_MALFORMED_ANSWERS_H_
