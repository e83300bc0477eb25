#ifndef CHIVERAIL_ERROR_RESPONSE_H_
#define CHIVERAIL_ERROR_RESPONSE_H_

#include <string>
#include <vector>

#include "types.h"

namespace chiverail {

// Returns the HTTP status for an error code.
int StatusOf(ErrorCode code);

// Returns the JSON body of an error: code, message and whether the request was executed (`ran`).
std::string ErrorBody(const RequestError& error);

// As above, with the addresses of other instances to which the caller can send the request.
std::string ErrorBody(const RequestError& error, const std::vector<std::string>& addresses);

}  // namespace chiverail

#endif  // CHIVERAIL_ERROR_RESPONSE_H_
