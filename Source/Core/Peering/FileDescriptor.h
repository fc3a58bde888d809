#pragma once

#include <unistd.h>
#include <utility>

namespace Currantfall::Peering {

/// Closes its descriptor on destruction.
class FileDescriptor
{
public:
    FileDescriptor() = default;
    explicit FileDescriptor(int descriptor) : descriptor(descriptor) { }
    ~FileDescriptor() { this->reset(); }

    FileDescriptor(FileDescriptor &&other) noexcept
        : descriptor(std::exchange(other.descriptor, -1))
    { }
    FileDescriptor &operator=(FileDescriptor &&other) noexcept
    {
        if (this != &other) {
            this->reset();
            this->descriptor = std::exchange(other.descriptor, -1);
        }
        return *this;
    }
    FileDescriptor(const FileDescriptor &) = delete;
    FileDescriptor &operator=(const FileDescriptor &) = delete;

    int value() const { return this->descriptor; }
    bool valid() const { return this->descriptor >= 0; }

    void reset()
    {
        if (this->descriptor >= 0) {
            ::close(this->descriptor);
            this->descriptor = -1;
        }
    }

private:
    int descriptor = -1;
};

} // namespace Currantfall::Peering
